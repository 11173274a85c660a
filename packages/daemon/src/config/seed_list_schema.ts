import { isIP } from "node:net";
import { z } from "zod";
import type { PeerAddress } from "../peers/mod.ts";

const SEED_PATTERN = /^([^@\s]+)@(?:\[([0-9a-fA-F:]+)\]|([0-9.]+)):(\d{1,5})$/;

/** Comma-separated list of peers as `host@ip:port`; an IPv6 address is enclosed in brackets. */
export const seedListSchema = z.string().transform((text, context) => {
  const seeds = new Map<string, PeerAddress>();
  const items = text.split(",").map((item) => item.trim()).filter((item) => item !== "");
  for (const item of items) {
    const [, host = "", v6, v4, port = ""] = SEED_PATTERN.exec(item) ?? [];
    const address = v6 ?? v4 ?? "";
    if (isIP(address) === 0 || Number(port) < 1 || Number(port) > 65535) {
      context.addIssue(`"${item}" does not have the form host@ip:port`);
      return z.NEVER;
    }
    seeds.set(host, { address, port: Number(port) });
  }
  return seeds as ReadonlyMap<string, PeerAddress>;
});
