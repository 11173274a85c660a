import type { ModelSettings, UpstreamSettings } from "@crocussail/protocol";
import { createHash } from "node:crypto";
import type { PlacementCopy } from "../adapters/placement_copy_schema.ts";

/** Input of {@link computeWantedPlacement}. */
export interface WantedPlacementInput {
  readonly models: ReadonlyMap<string, ModelSettings>;
  readonly upstreams: ReadonlyMap<string, UpstreamSettings>;
}

interface Pair {
  readonly model: string;
  readonly engine: string;
  readonly weight: number;
}

/**
 * Computes which copy each live engine should serve; engines without one keep their copies. Pairs
 * of model and engine are assigned in the order of their rendezvous weights, so daemons with the
 * same settings compute the same result, and a lost or added engine moves few copies.
 */
export function computeWantedPlacement(
  input: WantedPlacementInput,
): ReadonlyMap<string, PlacementCopy> {
  const wanted = new Map<string, PlacementCopy>();
  const placed = new Map<string, number>();
  for (const { model, engine } of listPairs(input)) {
    const settings = input.models.get(model);
    const count = placed.get(model) ?? 0;
    if (settings === undefined || wanted.has(engine) || count >= settings.replicas) {
      continue;
    }
    const { version, adapters, role } = settings;
    wanted.set(engine, { model, version, adapters: [...adapters].sort(), role });
    placed.set(model, count + 1);
  }
  return wanted;
}

function listPairs(input: WantedPlacementInput): Pair[] {
  const engines = [...input.upstreams].filter(([, upstream]) =>
    upstream.kind === "engine" && upstream.state === "live"
  );
  return [...input.models.keys()]
    .flatMap((model) =>
      engines
        .filter(([, engine]) => engine.models === undefined || engine.models.includes(model))
        .map(([engine]) => ({ model, engine, weight: digestPair(model, engine) }))
    )
    .sort((left, right) =>
      right.weight - left.weight || (left.engine < right.engine ? -1 : 1) ||
      (left.model < right.model ? -1 : 1)
    );
}

function digestPair(model: string, engine: string): number {
  return createHash("sha1").update(model).update("\0").update(engine).digest().readUIntBE(0, 6);
}
