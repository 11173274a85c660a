import { HOST_LIMITS } from "./constants.ts";
import type { HostReport } from "./host_report_schema.ts";

type Check = (value: unknown) => boolean;

const ADDRESS = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

const isText: Check = (value) => typeof value === "string";
const isName: Check = (value) => isTextOf(value, 200);
const isNumber: Check = (value) => Number.isFinite(value);
const isAmount: Check = (value) => isNumber(value) && value as number >= 0;
const isOptionalAmount: Check = (value) => value === null || isAmount(value);
const isCount: Check = (value) => Number.isSafeInteger(value) && value as number >= 0;
const isBoolean: Check = (value) => typeof value === "boolean";
const isAddress: Check = (value) => typeof value === "string" && ADDRESS.test(value);
const isNoticeText: Check = (value) => isTextOf(value, 64);
const isNoticeTime: Check = (value) =>
  isNumber(value) && value as number > 0 && value as number <= 3_600_000;
const isAnything: Check = () => true;

const LOAD: readonly Check[] = [isText, isNumber, isNumber, isNumber];
const LEAVING: readonly Check[] = [isText, isNumber, isBoolean];
const JOINED: readonly Check[] = [isText, isText, isText, isText, isNumber, isNumber, isNumber];
const LIMIT: readonly Check[] = [isText, isNumber, isOptionalAmount, isAmount, isAmount];
const NOTICE: readonly Check[] = [isNoticeText, isNoticeText, isNoticeTime, isAnything];
const EVACUATION: readonly Check[] = [isName, isCount, isCount, isBoolean];
const COLD: readonly Check[] = [isText, isNumber, isAmount];
const WAITING: readonly Check[] = [isName, isNumber, isCount, isAmount, isAmount];

/**
 * Checks the fields of a received report by the rules of `hostReportSchema`. A host checks some
 * hundred reports a second, and the schema's own parser takes five times as long; a test compares
 * the two on altered reports.
 */
export function isHostReport(fields: Readonly<Record<keyof HostReport, unknown>>): boolean {
  return isHost(fields) && isKnowledge(fields) && isListOf(fields.loads, 512, LOAD) &&
    (fields.conduct === null || isListOf(fields.conduct, 512, LOAD)) &&
    isListOf(fields.leaving, HOST_LIMITS.maxReportedLeaving, LEAVING) &&
    isListOf(fields.joined, 64, JOINED) &&
    isListOf(fields.limits, 64, LIMIT) &&
    isListOf(fields.brittle, 64, LIMIT) &&
    isArrayOf(fields.unreachableServices, HOST_LIMITS.maxReportedServices, isName) &&
    isListOf(fields.notices, HOST_LIMITS.maxReportNotices, NOTICE) &&
    isArrayOf(fields.peers, 64, isAddress) &&
    isCount(fields.protocolVersion) &&
    isListOf(fields.evacuations, HOST_LIMITS.maxReportedEvacuations, EVACUATION) &&
    isListOf(fields.cold, HOST_LIMITS.maxReportedCold, COLD) &&
    isListOf(fields.waiting, HOST_LIMITS.maxReportedWaiting, WAITING);
}

function isHost(fields: Readonly<Record<keyof HostReport, unknown>>): boolean {
  return isName(fields.host) && fields.host !== "" &&
    isTextOf(fields.incarnation, 32) &&
    Number.isSafeInteger(fields.sequence) &&
    isCount(fields.intervalMs) && fields.intervalMs as number > 0 &&
    fields.intervalMs as number <= 60_000 &&
    isName(fields.dataCentre) &&
    isAddress(fields.callerAddress) && isAddress(fields.peerAddress) &&
    isNumber(fields.size) && fields.size as number > 0 &&
    isBoolean(fields.isReady) && isBoolean(fields.isLeaving);
}

function isKnowledge(fields: Readonly<Record<keyof HostReport, unknown>>): boolean {
  return isCount(fields.settingsVersion) && isCount(fields.settingsEra) &&
    isCount(fields.knownHosts) && fields.knownHosts as number >= 1 &&
    isCount(fields.knownInDataCentre) && fields.knownInDataCentre as number >= 1 &&
    isOptionalAmount(fields.upstreamsAgeMs);
}

function isTextOf(value: unknown, maxLength: number): boolean {
  return typeof value === "string" && value.length <= maxLength;
}

function isArrayOf(value: unknown, maxLength: number, check: Check): boolean {
  return Array.isArray(value) && value.length <= maxLength && value.every(check);
}

/** Whether a value is a list of tuples whose elements pass the given checks. */
function isListOf(value: unknown, maxLength: number, checks: readonly Check[]): boolean {
  return isArrayOf(
    value,
    maxLength,
    (tuple) =>
      Array.isArray(tuple) && tuple.length === checks.length &&
      checks.every((check, index) => check(tuple[index])),
  );
}
