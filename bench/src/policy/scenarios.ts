import type { Scenario } from "./scenario.ts";

const TEAM_SHARES = [0.3, 0.22, 0.16, 0.1, 0.07, 0.05, 0.04, 0.03, 0.02, 0.01];
const EIGHT_SPEEDS = [0.7, 0.8, 0.9, 1, 1, 1.1, 1.25, 1.4];
const EIGHT_CAPACITIES = [
  24_000,
  24_000,
  32_000,
  32_000,
  32_000,
  40_000,
  40_000,
  48_000,
];

/** Workloads of the two users, with the numbers of engines and teams from the requirements. */
export const SCENARIOS: readonly Scenario[] = [
  {
    name: "lakeshore",
    teamShares: TEAM_SHARES,
    groups: [
      {
        model: "planning",
        speeds: EIGHT_SPEEDS,
        capacities: EIGHT_CAPACITIES,
        kinds: [
          {
            name: "plan",
            urgency: 5,
            share: 0.45,
            deadlineMs: 300_000,
            promptTokens: 900,
            medianTokens: 700,
            sigma: 1,
            maxTokens: 12_000,
          },
          {
            name: "question",
            urgency: 1,
            share: 0.55,
            deadlineMs: 15_000,
            promptTokens: 500,
            medianTokens: 60,
            sigma: 0.6,
            maxTokens: 1_000,
          },
        ],
      },
      {
        model: "stock",
        speeds: [0.8, 1, 1, 1.25],
        capacities: [16_000, 20_000, 20_000, 24_000],
        kinds: [
          {
            name: "booking",
            urgency: 1,
            share: 0.4,
            deadlineMs: 10_000,
            promptTokens: 300,
            medianTokens: 50,
            sigma: 0.5,
            maxTokens: 500,
          },
          {
            name: "count_report",
            urgency: 6,
            share: 0.6,
            deadlineMs: 120_000,
            promptTokens: 700,
            medianTokens: 200,
            sigma: 0.9,
            maxTokens: 4_000,
          },
        ],
      },
    ],
  },
  {
    name: "vanua",
    teamShares: TEAM_SHARES,
    groups: [
      {
        model: "drafting",
        speeds: EIGHT_SPEEDS,
        capacities: EIGHT_CAPACITIES,
        kinds: [
          {
            name: "draft",
            urgency: 6,
            share: 0.6,
            deadlineMs: 600_000,
            promptTokens: 700,
            medianTokens: 800,
            sigma: 1.1,
            maxTokens: 16_000,
          },
          {
            name: "summary",
            urgency: 4,
            share: 0.4,
            deadlineMs: 90_000,
            promptTokens: 1_500,
            medianTokens: 250,
            sigma: 0.7,
            maxTokens: 3_000,
          },
        ],
      },
      {
        model: "ordering",
        speeds: [0.8, 1, 1.25],
        capacities: [16_000, 20_000, 24_000],
        kinds: [
          {
            name: "status",
            urgency: 0,
            share: 0.55,
            deadlineMs: 8_000,
            promptTokens: 250,
            medianTokens: 40,
            sigma: 0.5,
            maxTokens: 400,
          },
          {
            name: "order_summary",
            urgency: 6,
            share: 0.45,
            deadlineMs: 120_000,
            promptTokens: 600,
            medianTokens: 220,
            sigma: 0.9,
            maxTokens: 4_000,
          },
        ],
      },
    ],
  },
];
