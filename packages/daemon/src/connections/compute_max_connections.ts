import { CONNECTION_LIMITS } from "./constants.ts";
import type { ListenerName } from "./listener_name.ts";

/**
 * Computes the number of connections that a listener may have open: all together they leave
 * descriptors for the connections that the host opens itself.
 */
export function computeMaxConnections(name: ListenerName, descriptors: number): number {
  const { maxConnections, descriptorShare } = CONNECTION_LIMITS;
  const all = Object.values(maxConnections).reduce((sum, count) => sum + count, 0);
  const scale = Math.min(1, descriptors * descriptorShare / all);
  return Math.max(1, Math.floor(maxConnections[name] * scale));
}
