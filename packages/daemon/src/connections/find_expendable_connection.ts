import { CONNECTION_LIMITS } from "./constants.ts";
import type { GuardedConnection } from "./guarded_connection.ts";

/**
 * Finds the connection that is closed when there are too many: the one that has been open for
 * longest without a request, or on which a body has been arriving for longest, or that has been idle
 * for longest. None whose request is being handled.
 */
export function findExpendableConnection(
  connections: Iterable<GuardedConnection>,
  nowMs: number,
): GuardedConnection | undefined {
  let arriving: GuardedConnection | undefined;
  let idle: GuardedConnection | undefined;
  for (const connection of connections) {
    if (!connection.hasBegun) {
      return connection; // they are in the order of their arrival
    }
    if (connection.open.size === 0) {
      idle = chooseOlder(idle, connection);
    } else if (
      nowMs - connection.activeAtMs >= CONNECTION_LIMITS.bodyPatienceMs &&
      [...connection.open.values()].every((request) => !request.complete)
    ) {
      arriving = chooseOlder(arriving, connection);
    }
  }
  return arriving ?? idle;
}

function chooseOlder(
  known: GuardedConnection | undefined,
  other: GuardedConnection,
): GuardedConnection {
  return known === undefined || other.activeAtMs < known.activeAtMs ? other : known;
}
