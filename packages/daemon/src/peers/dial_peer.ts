import type { Clock, RandomSource } from "@crocussail/protocol";
import { pack } from "msgpackr";
import { WebSocket } from "ws";
import { signText } from "../common/sign_text.ts";
import { verifyText } from "../common/verify_text.ts";
import { PEER_LIMITS } from "./constants.ts";
import { formatHandshakeText } from "./format_handshake_text.ts";
import type { PeerAddress } from "./peer_address.ts";
import { receiveHandshake } from "./receive_handshake.ts";

/** Options of {@link dialPeer}. */
export interface DialPeerOptions {
  readonly host: string;
  /** Name of the host that is dialed. */
  readonly target: string;
  readonly address: PeerAddress;
  readonly fleetKeys: readonly string[];
  readonly clock: Clock;
  readonly random: RandomSource;
}

const NONCE_BYTES = 16;

/** Opens a connection to a peer and runs the dialer's side of the handshake. */
export async function dialPeer(options: DialPeerOptions): Promise<WebSocket> {
  const { address, port } = options.address;
  const host = address.includes(":") ? `[${address}]` : address;
  const socket = new WebSocket(`ws://${host}:${port}`, {
    perMessageDeflate: false,
    maxPayload: PEER_LIMITS.maxFrameBytes,
    handshakeTimeout: PEER_LIMITS.handshakeTimeoutMs,
  });
  socket.on("error", () => socket.terminate());
  try {
    await proveMembership(socket, options);
    return socket;
  } catch (error) {
    socket.terminate();
    throw error;
  }
}

async function proveMembership(socket: WebSocket, options: DialPeerOptions): Promise<void> {
  const { fleetKeys, host, target, clock } = options;
  const challenge = await receiveHandshake(socket, "challenge", clock);
  const dialerNonce = options.random.nextHex(NONCE_BYTES);
  const parts = { host, target, listenerNonce: challenge.nonce, dialerNonce };
  const signature = signText(fleetKeys[0] ?? "", formatHandshakeText({ ...parts, side: "dialer" }));
  socket.send(pack({ type: "proof", host, target, nonce: dialerNonce, signature }));
  const welcome = await receiveHandshake(socket, "welcome", clock);
  const text = formatHandshakeText({ ...parts, side: "listener" });
  if (!verifyText(fleetKeys, text, welcome.signature)) {
    throw new Error(`host ${target} does not hold the fleet key`);
  }
}
