/** Frames and bytes of one channel since the start of the process, without WebSocket headers. */
export interface ChannelTraffic {
  sentFrames: number;
  sentBytes: number;
  receivedFrames: number;
  receivedBytes: number;
}

/** Counts the traffic with peers by channel; a reply counts for the channel of its request. */
export interface PeerTraffic {
  /** Counts a frame sent; `bytes` is 0 when it was dropped. */
  recordSent(channel: string, bytes: number): void;
  recordReceived(channel: string, bytes: number): void;
  dumpState(): Readonly<Record<string, ChannelTraffic>>;
}

/** Channels counted by name; further ones, which only a faulty peer uses, count as `other`. */
const MAX_CHANNELS = 32;
const OTHER = "other";

/** Creates counters at zero. */
export function createPeerTraffic(): PeerTraffic {
  const channels = new Map<string, ChannelTraffic>();

  const getCounters = (channel: string): ChannelTraffic => {
    const name = channels.has(channel) || channels.size < MAX_CHANNELS ? channel : OTHER;
    const counters = channels.get(name) ??
      { sentFrames: 0, sentBytes: 0, receivedFrames: 0, receivedBytes: 0 };
    channels.set(name, counters);
    return counters;
  };

  return {
    recordSent: (channel, bytes) => {
      const counters = getCounters(channel);
      counters.sentFrames += bytes > 0 ? 1 : 0;
      counters.sentBytes += bytes;
    },
    recordReceived: (channel, bytes) => {
      const counters = getCounters(channel);
      counters.receivedFrames += 1;
      counters.receivedBytes += bytes;
    },
    dumpState: () => Object.fromEntries(channels),
  };
}
