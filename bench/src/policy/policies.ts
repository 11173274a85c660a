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
    limitsGrants: true,
    createPredictor: createLengthPredictor,
  },
  {
    name: "no_prediction",
    score: scoreExpectedTime,
    limitsGrants: true,
    createPredictor: createFixed,
  },
  {
    name: "least_in_flight",
    score: scoreInFlight,
    limitsGrants: false,
    createPredictor: createFixed,
  },
  {
    name: "round_robin",
    score: scoreRoundRobin,
    limitsGrants: false,
    createPredictor: createFixed,
  },
];
