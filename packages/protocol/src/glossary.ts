/** One term of this code, with the usual term of the field where that differs. */
export interface GlossaryEntry {
  readonly term: string;
  /** Empty where the field uses the same term. */
  readonly fieldTerm: string;
  readonly meaning: string;
}

/**
 * Terms that a reader of the code needs: first the users' own, then the others in alphabetical
 * order. Source of docs/GLOSSARY.md.
 */
export const GLOSSARY: readonly GlossaryEntry[] = [
  {
    term: "host",
    fieldTerm: "node, machine",
    meaning: "A machine that runs one daemon and accepts connections from callers",
  },
  {
    term: "data centre",
    fieldTerm: "availability zone",
    meaning: "A group of hosts that may fail together",
  },
  {
    term: "team",
    fieldTerm: "tenant, customer",
    meaning: "The owner of API keys, access rights and kinds of work",
  },
  {
    term: "upstream",
    fieldTerm: "back end, origin server",
    meaning: "A model engine or plain service that requests are routed to",
  },
  {
    term: "admission owner",
    fieldTerm: "scheduler",
    meaning: "The host that queues the generations of one upstream and grants them",
  },
  {
    term: "backup copy",
    fieldTerm: "",
    meaning:
      "A copy of a generation's KV cache on another engine, updated while the generation runs",
  },
  {
    term: "brittle upstream",
    fieldTerm: "",
    meaning: "An upstream that falls over when it has to refuse too many requests in a second",
  },
  {
    term: "caller",
    fieldTerm: "client",
    meaning: "A program that sends requests to a host",
  },
  {
    term: "claim",
    fieldTerm: "lock request",
    meaning:
      "The attempt of a daemon to obtain an order key from the key's replicas; only with grants of a majority may it send the order",
  },
  {
    term: "cold upstream",
    fieldTerm: "warm-up, slow start",
    meaning:
      "An upstream that crashes under many requests for a time after its start, or at another moment that it names",
  },
  {
    term: "decode",
    fieldTerm: "",
    meaning: "The phase of a generation that produces its tokens, after the prefill",
  },
  {
    term: "draining",
    fieldTerm: "graceful shutdown",
    meaning:
      "The state of a host or upstream that completes its requests and accepts no new ones; identifiers and settings call it `leaving`",
  },
  {
    term: "duty",
    fieldTerm: "shard assignment",
    meaning:
      "The responsibility of a replica for the order keys that name one incarnation; a draining replica hands it to a successor",
  },
  {
    term: "engine",
    fieldTerm: "inference server",
    meaning: "An upstream that runs generations of a model",
  },
  {
    term: "entry",
    fieldTerm: "service discovery",
    meaning: "The response to `GET /v1/entry`, which lists the hosts for a caller to use",
  },
  {
    term: "evacuation",
    fieldTerm: "zone drain",
    meaning:
      "A published request that nothing be sent to the upstreams of a data centre until it is withdrawn",
  },
  {
    term: "execution state",
    fieldTerm: "",
    meaning: "Whether an upstream executed a request: `no`, `yes` or `unknown`; the field `ran`",
  },
  {
    term: "feed",
    fieldTerm: "watch, subscription",
    meaning: "The reader of the settings and upstreams that a deployment publishes",
  },
  {
    term: "fencing token",
    fieldTerm: "",
    meaning:
      "The settings revision in a placement order; an engine that checks it refuses orders with a lower one",
  },
  {
    term: "fill share",
    fieldTerm: "water-filling",
    meaning:
      "The part of the requests placed at one time that an upstream receives if the cheapest ones are filled first",
  },
  {
    term: "gateway",
    fieldTerm: "reverse proxy",
    meaning:
      "A daemon composed to forward requests by published routes, without the slices for its own API",
  },
  {
    term: "generation",
    fieldTerm: "completion, inference",
    meaning: "One run of a model on an engine that produces the tokens of a response",
  },
  {
    term: "grant",
    fieldTerm: "permit",
    meaning:
      "The permission to use a limited resource: of an admission owner for a generation, of a replica for a claim, of a slot owner for a load",
  },
  {
    term: "handover",
    fieldTerm: "request forwarding, proxying",
    meaning: "Sending a whole request to another host, which handles it as for its own caller",
  },
  {
    term: "headroom",
    fieldTerm: "",
    meaning: "The share of an engine's memory that its admission owner leaves free",
  },
  {
    term: "heartbeat payload",
    fieldTerm: "piggybacked data",
    meaning: "Data that a slice adds to every heartbeat between hosts; the field `rider`",
  },
  {
    term: "in-flight request",
    fieldTerm: "",
    meaning: "A request that this host has placed on an upstream and that has not ended",
  },
  {
    term: "incarnation",
    fieldTerm: "process instance id",
    meaning:
      "The identity of one process start of a host, which distinguishes it from earlier ones",
  },
  {
    term: "key prefix",
    fieldTerm: "",
    meaning:
      "The signed start of an idempotency key, which names the key's replicas; the caller appends its own id",
  },
  {
    term: "kind of work",
    fieldTerm: "request class",
    meaning: "A class of a team's requests with its urgency, deadline and targets",
  },
  {
    term: "KV cache",
    fieldTerm: "",
    meaning: "The memory of an engine for the attention state of a generation, measured in tokens",
  },
  {
    term: "limit",
    fieldTerm: "global rate limit",
    meaning:
      "Requests a second that an upstream takes from all hosts together, as its responses name it",
  },
  {
    term: "migration",
    fieldTerm: "live migration",
    meaning:
      "Resuming a running generation on another engine from its KV cache, away from a draining one; events and metrics call it a move",
  },
  {
    term: "notice",
    fieldTerm: "broadcast, gossip message",
    meaning: "A message that is distributed to all hosts of the fleet and delivered once on each",
  },
  {
    term: "order",
    fieldTerm: "non-idempotent request",
    meaning: "A call of a plain service that may be executed at most once for each idempotency key",
  },
  {
    term: "permit",
    fieldTerm: "token",
    meaning:
      "The right to send one request to an upstream with a limit, granted by the host that owns it",
  },
  {
    term: "placement",
    fieldTerm: "scheduling",
    meaning:
      "Sending a request to a chosen upstream; in the slice `placement`, loading models onto engines",
  },
  {
    term: "plain service",
    fieldTerm: "back-end service",
    meaning: "A service without a model, whose upstreams return complete responses",
  },
  {
    term: "prefill",
    fieldTerm: "",
    meaning: "The phase of a generation that processes its prompt, before the first token",
  },
  {
    term: "quarantine",
    fieldTerm: "",
    meaning:
      "Refusing a request on every host for a limited time because it has crashed more than one upstream",
  },
  {
    term: "replica",
    fieldTerm: "",
    meaning:
      "A host that an order key names and that records the key's claim and outcome; in `models/` settings, an engine that should serve the model",
  },
  {
    term: "resumable stream",
    fieldTerm: "",
    meaning: "A stream of a route that may run again at any engine after the last event received",
  },
  {
    term: "resume token",
    fieldTerm: "cursor",
    meaning: "The signed text in the event ids of a stream, with which any host can resume it",
  },
  {
    term: "retry budget",
    fieldTerm: "",
    meaning: "The limit on retries, derived from the number of requests",
  },
  {
    term: "revision",
    fieldTerm: "modification revision",
    meaning:
      "The number that the settings service gives to a change; values with a higher one replace older ones",
  },
  {
    term: "route",
    fieldTerm: "",
    meaning: "A published rule that assigns requests to services by host name and path prefix",
  },
  {
    term: "settings service",
    fieldTerm: "configuration store",
    meaning: "The platform's store of published settings, which daemons only read",
  },
  {
    term: "slice",
    fieldTerm: "module",
    meaning:
      "A folder of the daemon with the state, messages, decisions and tests of one responsibility",
  },
  {
    term: "stand-in",
    fieldTerm: "fake, test double",
    meaning: "A small replacement of an outside system for the demo, tests and benchmarks",
  },
  {
    term: "wait queue",
    fieldTerm: "",
    meaning: "The queue of a host's requests that wait for capacity at an upstream",
  },
];
