/** Links between daemons: WebSocket connections with msgpack frames, opened with the fleet key. @module */
export { createPeerLink } from "./create_peer_link.ts";
export type { ListeningPeerLink, PeerLinkOptions } from "./create_peer_link.ts";
export type { PeerAddress } from "./peer_address.ts";
export type { PeerHandler, PeerLink } from "./peer_link.ts";
