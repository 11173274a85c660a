/** How a response marks the end of its body; `connection`: by the end of the connection only. */
export type BodyFraming = "length" | "chunks" | "connection";
