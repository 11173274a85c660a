/** One term of the users and the usual technical term for it. */
export interface GlossaryEntry {
  readonly term: string;
  readonly fieldTerm: string;
  readonly meaning: string;
}

/** Terms that the code takes from its users; source of docs/GLOSSARY.md. */
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
];
