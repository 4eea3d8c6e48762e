/** Exit codes of the binary. */
export enum ExitCode {
  Success = 0,
  /** The command ran and failed. */
  Failure = 1,
  /** Arguments, settings or configuration are invalid; nothing was started. */
  Usage = 2,
  /** A process that the command queries could not be reached. */
  Unreachable = 3,
  /** A router would refuse the request that the command describes. */
  Refused = 4,
}
