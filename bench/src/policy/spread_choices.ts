import {
  BALANCING_LIMITS,
  chooseEngine,
  estimateConcurrentChoices,
} from "@crocussail/daemon/balancing";
import type { HostChoice, UpstreamCandidate } from "@crocussail/daemon/balancing";

const PROMPT_TOKENS = 1_000;
const LIMITS = {
  slots: 24,
  memoryTokens: 27_000,
  canMove: true,
  canBackUp: true,
  tokensPerEvent: 4,
};
/** Share by which the cost of a drawn engine exceeded the minimum, at most, before. */
const COST_TOLERANCE = 0.2;
const SUBSETS = 4;

type Choose = (choice: HostChoice) => UpstreamCandidate | undefined;

const hasRoom = ({ load, upstream }: UpstreamCandidate) =>
  load.inFlight < upstream.record.slots &&
  load.memoryTokens + PROMPT_TOKENS <= LIMITS.memoryTokens * BALANCING_LIMITS.plannedMemoryShare;

const chooseWith = (choice: HostChoice, concurrentChoices: number) =>
  chooseEngine(choice.candidates, {
    limits: LIMITS,
    prefillTokens: PROMPT_TOKENS,
    outputTokens: 100,
    memoryTokens: PROMPT_TOKENS,
    firstTokenMs: Number.POSITIVE_INFINITY,
    memoryShare: BALANCING_LIMITS.plannedMemoryShare,
    random: choice.random,
    concurrentChoices,
  });

const chooseMinimum: Choose = (choice) => chooseWith(choice, 0);

/** Draws evenly from those within a share of the lowest number in flight. */
const chooseWithinTolerance: Choose = ({ candidates, random }) => {
  const free = candidates.filter(hasRoom);
  const limit = Math.min(...free.map(({ load }) => load.inFlight + 1)) * (1 + COST_TOLERANCE);
  const eligible = free.filter(({ load }) => load.inFlight + 1 <= limit);
  return eligible[random.nextInteger(Math.max(1, eligible.length))];
};

const chooseOfTwo: Choose = ({ candidates, random }) => {
  const free = candidates.filter(hasRoom);
  const draw = () => free[random.nextInteger(Math.max(1, free.length))];
  const [first, second] = [draw(), draw()];
  return (first?.load.inFlight ?? 0) <= (second?.load.inFlight ?? 0) ? first : second;
};

const chooseByFreeRoom: Choose = ({ candidates, random }) => {
  const free = candidates.filter(hasRoom);
  const rooms = free.map(({ load, upstream }) => upstream.record.slots - load.inFlight);
  let left = random.nextFloat() * rooms.reduce((sum, room) => sum + room, 0);
  return free[rooms.findIndex((room) => (left -= room) < 0)];
};

/** Each host uses every fourth upstream. */
const chooseFromSubset: Choose = (choice) =>
  chooseMinimum({
    ...choice,
    candidates: choice.candidates.filter((_, index) => index % SUBSETS === choice.host % SUBSETS),
  });

const chooseByFillShares: Choose = (choice) =>
  chooseWith(
    choice,
    estimateConcurrentChoices({
      hosts: choice.hosts,
      candidates: choice.candidates,
      promptTokens: PROMPT_TOKENS,
      countDraining: () => 0,
    }),
  );

/** Ways to choose an engine by loads that are known late; `before` and `daemon` are the product's. */
export const SPREAD_CHOICES: Readonly<Record<string, Choose>> = {
  "minimum cost (before, to 20 hosts)": chooseMinimum,
  "within 20% of it (before, 80 hosts)": chooseWithinTolerance,
  "two random choices": chooseOfTwo,
  "in proportion to free room": chooseByFreeRoom,
  "sticky subsets": chooseFromSubset,
  "fill shares (daemon)": chooseByFillShares,
};
