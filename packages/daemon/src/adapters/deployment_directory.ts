/** Endpoints by which callers find hosts to connect to and the platform checks readiness. */
export interface DeploymentDirectory {
  /** Path of the readiness check; status 200 means ready. */
  readonly readinessPath: string;
  /** Path at which callers request the addresses of hosts. */
  readonly directoryPath: string;
  /** Renders the response body for the directory path. */
  encodeAddresses(addresses: readonly string[], ttlMs: number): string;
}
