import { z } from "zod";

/** Request on the membership channel; its first element is the type of the request. */
export const membershipRequestSchema = z.union([
  /** A probe with its heartbeat; the response is a heartbeat. */
  z.tuple([z.literal(0), z.unknown()]),
  /** A pull; the response is a heartbeat with the complete view. */
  z.tuple([z.literal(1), z.unknown()]),
  /** A request to a helper to probe a member; the response is whether the member replied. */
  z.tuple([z.literal(2), z.number().int()]),
]);
