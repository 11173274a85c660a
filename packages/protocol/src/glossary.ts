/** One term of the brief and the field's term for it. */
export interface GlossaryEntry {
  readonly term: string;
  readonly fieldTerm: string;
  readonly meaning: string;
}

/** Words that the code takes from the users' brief; source of docs/GLOSSARY.md. */
export const GLOSSARY: readonly GlossaryEntry[] = [
  {
    term: "host",
    fieldTerm: "node, machine",
    meaning: "A machine that runs one daemon and takes callers' connections",
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
