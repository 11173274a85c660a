import { z } from "zod";

/** Peer handshake: the listener's challenge, the dialer's proof, the listener's signed welcome. */
export const peerHandshakeSchema = z.discriminatedUnion("type", [
  z.strictObject({ type: z.literal("challenge"), nonce: z.string().length(32) }),
  z.strictObject({
    type: z.literal("proof"),
    host: z.string().min(1).max(255),
    target: z.string().min(1).max(255),
    nonce: z.string().length(32),
    signature: z.string(),
  }),
  z.strictObject({ type: z.literal("welcome"), signature: z.string() }),
]);

/** Message of the peer handshake. */
export type PeerHandshake = z.infer<typeof peerHandshakeSchema>;
