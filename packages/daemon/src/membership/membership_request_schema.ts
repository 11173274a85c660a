import { z } from "zod";

/** Request on the channel of membership; its first element tells what is asked. */
export const membershipRequestSchema = z.union([
  /** A probe with its heartbeat; the answer is a heartbeat. */
  z.tuple([z.literal(0), z.unknown()]),
  /** A pull; the answer is a heartbeat with the whole view. */
  z.tuple([z.literal(1), z.unknown()]),
  /** Asks a helper to probe a member; the answer tells whether it replied. */
  z.tuple([z.literal(2), z.number().int()]),
]);
