/** Certificate and key of a TLS listener, in PEM. */
export interface TlsMaterial {
  readonly cert: string;
  readonly key: string;
}
