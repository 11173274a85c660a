#!/usr/bin/env node
import { runExit } from "clipanion";
import { DemoCommand } from "./demo/demo_command.ts";

runExit({ binaryLabel: "crocussail", binaryName: "crocussail" }, [DemoCommand]);
