import {
  createFixedPredictor,
  createLengthPredictor,
  scoreExpectedTime,
  scoreInFlight,
  scoreRoundRobin,
} from "@crocussail/daemon/policy";
import type { PolicySpec } from "./policy_spec.ts";

const FIXED_TOKENS = 1_024;
const createFixed = () => createFixedPredictor(FIXED_TOKENS);

/** The daemon's policy, followed by the baselines. */
export const POLICIES: readonly PolicySpec[] = [
  {
    name: "crocussail",
    score: scoreExpectedTime,
    isGated: true,
    createPredictor: createLengthPredictor,
  },
  { name: "no_prediction", score: scoreExpectedTime, isGated: true, createPredictor: createFixed },
  { name: "least_in_flight", score: scoreInFlight, isGated: false, createPredictor: createFixed },
  { name: "round_robin", score: scoreRoundRobin, isGated: false, createPredictor: createFixed },
];
