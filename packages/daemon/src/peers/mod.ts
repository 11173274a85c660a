/** Connections between daemons: msgpack frames over WebSocket, fleet key authentication. @module */
export { createPeerTransport } from "./create_peer_transport.ts";
export type { ListeningPeerTransport, PeerTransportOptions } from "./create_peer_transport.ts";
export type { PeerAddress } from "./peer_address.ts";
export type { PeerHandler, PeerTransport } from "./peer_transport.ts";
export { encodePeerFrame } from "./encode_peer_frame.ts";
export type { PeerFrame } from "./peer_frame.ts";
