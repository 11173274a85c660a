/** Links between daemons: WebSocket connections with msgpack frames, opened with the fleet key. @module */
export { createPeerLink } from "./create_peer_link.ts";
export type { ListeningPeerLink, PeerLinkOptions } from "./create_peer_link.ts";
export type { PeerAddress } from "./peer_address.ts";
export type { PeerHandler, PeerLink } from "./peer_link.ts";
export { encodePeerFrame } from "./encode_peer_frame.ts";
export type { PeerFrame } from "./peer_frame.ts";
