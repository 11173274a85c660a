#!/usr/bin/env node
import { runExit } from "clipanion";
import { DaemonCommand } from "./daemon_command.ts";

runExit({ binaryLabel: "crocussaild", binaryName: "crocussaild" }, DaemonCommand);
