import type { Clock, RandomSource } from "@crocussail/protocol";
import { pack } from "msgpackr";
import type { WebSocket } from "ws";
import { signText } from "../common/sign_text.ts";
import { verifyText } from "../common/verify_text.ts";
import { formatHandshakeText } from "./format_handshake_text.ts";
import { receiveHandshake } from "./receive_handshake.ts";

/** Options of {@link acceptPeer}. */
export interface AcceptPeerOptions {
  readonly socket: WebSocket;
  readonly host: string;
  readonly fleetKeys: readonly string[];
  readonly clock: Clock;
  readonly random: RandomSource;
}

const NONCE_BYTES = 16;

/** Runs the listener's side of the handshake; resolves with the name of the peer. */
export async function acceptPeer(options: AcceptPeerOptions): Promise<string> {
  const { socket, fleetKeys } = options;
  const listenerNonce = options.random.nextHex(NONCE_BYTES);
  socket.send(pack({ type: "challenge", nonce: listenerNonce }));
  const proof = await receiveHandshake(socket, "proof", options.clock);
  const parts = {
    host: proof.host,
    target: options.host,
    listenerNonce,
    dialerNonce: proof.nonce,
  };
  const text = formatHandshakeText({ ...parts, side: "dialer" });
  if (proof.target !== options.host || !verifyText(fleetKeys, text, proof.signature)) {
    throw new Error(`proof of ${proof.host} does not match the fleet key`);
  }
  const signature = signText(
    fleetKeys[0] ?? "",
    formatHandshakeText({ ...parts, side: "listener" }),
  );
  socket.send(pack({ type: "welcome", signature }));
  return proof.host;
}
