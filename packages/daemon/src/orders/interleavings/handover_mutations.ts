import type { Mutation } from "./mutation.ts";

/** Deliberate errors in the handover's decisions, each of which the exploration must detect. */
export const HANDOVER_MUTATIONS: readonly Mutation[] = [
  {
    name: "skip the freeze of a handover",
    apply: (decisions) => ({
      ...decisions,
      decideHandover: (state, event) => {
        const decision = decisions.decideHandover(state, event);
        const effects = decision.effects.filter((effect) => effect.type !== "freeze");
        return { ...decision, effects };
      },
    }),
  },
  {
    name: "commit to a second successor after a timeout",
    apply: (decisions) => ({
      ...decisions,
      decideHandover: (state, event) =>
        decisions.decideHandover(
          event.type === "timeout" && state.phase === "committing"
            ? { ...state, phase: "staging" }
            : state,
          event,
        ),
    }),
  },
  {
    name: "adopt a duty without its records",
    apply: (decisions) => ({
      ...decisions,
      decideAdoption: (state, message) => {
        const decision = decisions.decideAdoption(state, message);
        return { ...decision, isFrameNew: false };
      },
    }),
  },
];
