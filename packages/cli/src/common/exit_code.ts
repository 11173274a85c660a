/** Exit codes of the command line. */
export const EXIT_CODE = {
  /** The command succeeded. */
  ok: 0,
  /** The command ran and reported a failure. */
  failure: 1,
  /** Options, files or settings are not valid. */
  usage: 2,
} as const;
