import { describeListenError } from "./common/describe_listen_error.ts";
import type { ListenTarget } from "./common/describe_listen_error.ts";

/** Opens a listener; on failure, rejects with an error that names the setting to change. */
export async function openListener<Result>(
  target: ListenTarget,
  open: (target: ListenTarget) => Promise<Result>,
): Promise<Result> {
  try {
    return await open(target);
  } catch (error) {
    throw new Error(describeListenError(target, error), { cause: error });
  }
}
