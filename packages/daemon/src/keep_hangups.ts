import process from "node:process";

// Without a listener a hangup ends the process; the rest of the program loads after this module.
process.on("SIGHUP", () => {});
