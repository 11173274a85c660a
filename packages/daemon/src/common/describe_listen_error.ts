/** Address and port of a listener, with their names in the settings file. */
export interface ListenTarget {
  readonly addressName: string;
  readonly address: string;
  readonly portName: string;
  readonly port: number;
}

/** Renders why a listener could not be opened and which setting to change. */
export function describeListenError(target: ListenTarget, error: unknown): string {
  const { addressName, address, portName, port } = target;
  const code = (error as { code?: string }).code;
  switch (code) {
    case "EADDRINUSE":
      return `${portName}: ${address} port ${port} is taken; stop the process that listens there ` +
        `or set another ${portName}`;
    case "EADDRNOTAVAIL":
      return `${addressName}: ${address} is no address of this machine; ` +
        `set ${addressName} to one that it has`;
    case "EACCES":
      return `${portName}: this user may not listen on port ${port}; ` +
        `set a ${portName} of 1024 or above`;
    default:
      return `${portName}: cannot listen on ${address} port ${port}: ${String(error)}; ` +
        `check ${addressName} and ${portName}`;
  }
}
