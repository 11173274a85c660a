import "./keep_hangups.ts";
import { runExit } from "clipanion";
import process from "node:process";
import { DaemonCommand } from "./daemon_command.ts";

const label = "crocussaild";
const enableColors = process.stdout.isTTY === true;

runExit({ binaryLabel: label, binaryName: label, enableColors }, DaemonCommand);
