/** Measures the cost of a fleet without failures, and how fast a change is in effect. */
import * as fleets from './fleet.js';
import type * as worlds from './world.js';

export type Found = {
  instances: number;
  dataCentres: number;
  /** Sent plus received, mean over the instances. */
  bytesPerS: number;
  messagesPerS: number;
  /** The same for the instance with the most traffic, which is a relay. */
  relayBytesPerS: number;
  relayMessagesPerS: number;
  coreShare: number;
  heapMb: number;
  platformCallsPerS: number;
  inForceP50Ms: number;
  inForceP100Ms: number;
  /** Half of the data centres cannot reach the platform, but all can reach each other. */
  platformCutP100Ms: number;
  /** Half of the data centres are partitioned from the rest; counted from the end of the partition. */
  healedP100Ms: number;
  /** Instances that adopted a generation lower than their own. */
  reverted: number;
};

export const SEED = 20_261_204;
export const WARM_UP_MS = 10_000;
const WINDOW_MS = 24_000;
const CUT_MS = 10_000;
const SETTLE_MS = 8_000;
/** 11,000 changes per day. */
const CHANGE_EVERY_MS = 86_400_000 / 11_000;

export function measure(size: fleets.Size): Found {
  const heapBefore = heapBytes();
  const fleet = fleets.create(size, SEED);
  const { timeline, platform } = fleet.world;
  timeline.runUntil(WARM_UP_MS);
  const before = { traffic: trafficOf(fleet), calls: platform.calls(), cpu: process.cpuUsage() };
  const generations = changeFor(fleet, WINDOW_MS);
  const cpu = process.cpuUsage(before.cpu);
  const seconds = WINDOW_MS / 1_000;
  const spent = trafficOf(fleet).map((each, at) => minus(each, before.traffic[at]));
  const calls = platform.calls() - before.calls;
  const heapMb = (heapBytes() - heapBefore) / size.instances / 1_000_000;
  const inForce = generations.flatMap((each) => fleet.delays.get(each) ?? []);
  const isWhole = inForce.length === generations.length * size.instances;
  const count = size.instances * seconds;
  return {
    ...size,
    bytesPerS: Math.round(sum(spent.map(({ bytes }) => bytes)) / count),
    messagesPerS: round(sum(spent.map(({ messages }) => messages)) / count),
    relayBytesPerS: Math.round(Math.max(...spent.map(({ bytes }) => bytes)) / seconds),
    relayMessagesPerS: round(Math.max(...spent.map(({ messages }) => messages)) / seconds),
    coreShare: round((cpu.user + cpu.system) / 1_000_000 / count, 5),
    heapMb: round(heapMb),
    platformCallsPerS: round(calls / seconds),
    inForceP50Ms: Math.round(quantile(inForce, 0.5)),
    inForceP100Ms: isWhole ? Math.round(Math.max(...inForce)) : Infinity,
    platformCutP100Ms: Math.round(cutFromPlatform(fleet, size)),
    healedP100Ms: Math.round(cutFromEachOther(fleet, size)),
    reverted: fleet.reverted(),
  };
}

/** Accepts changes at the design rate, the last one early enough to be in effect by the end. */
function changeFor(fleet: fleets.Fleet, forMs: number): readonly number[] {
  const { timeline } = fleet.world;
  const startMs = timeline.nowMs();
  const count = Math.floor(forMs / CHANGE_EVERY_MS);
  const generations = Array.from({ length: count }, (_, at) => {
    timeline.runUntil(startMs + at * CHANGE_EVERY_MS);
    return fleet.accept();
  });
  timeline.runUntil(startMs + forMs);
  return generations;
}

function cutFromPlatform(fleet: fleets.Fleet, size: fleets.Size): number {
  const { timeline, links } = fleet.world;
  links.cut((from, to) => to === 'platform' && isFarHalf(from, size));
  timeline.runUntil(timeline.nowMs() + CUT_MS);
  const generation = fleet.accept();
  timeline.runUntil(timeline.nowMs() + SETTLE_MS);
  links.cut(() => false);
  timeline.runUntil(timeline.nowMs() + SETTLE_MS);
  const delays = fleet.delays.get(generation) ?? [];
  return delays.length === size.instances ? Math.max(...delays) : Infinity;
}

/** Returns the longest time from the end of the partition until the far half has the generation. */
function cutFromEachOther(fleet: fleets.Fleet, size: fleets.Size): number {
  const { timeline, links } = fleet.world;
  links.cut((from, to) => isFarHalf(from, size) !== isFarHalf(to, size));
  timeline.runUntil(timeline.nowMs() + CUT_MS);
  const acceptedAtMs = timeline.nowMs();
  const generation = fleet.accept();
  timeline.runUntil(timeline.nowMs() + SETTLE_MS);
  links.cut(() => false);
  const healedMs = timeline.nowMs() - acceptedAtMs;
  timeline.runUntil(timeline.nowMs() + SETTLE_MS);
  const delays = fleet.delays.get(generation) ?? [];
  return delays.length === size.instances ? Math.max(...delays) - healedMs : Infinity;
}

export function isFarHalf(dataCentre: string, { dataCentres }: fleets.Size): boolean {
  const at = Number(dataCentre.split('-')[1]);
  return at >= dataCentres / 2;
}

function trafficOf({ all }: fleets.Fleet): readonly worlds.Traffic[] {
  return all.map((each) => each.traffic());
}

function minus(after: worlds.Traffic, before: worlds.Traffic | undefined): worlds.Traffic {
  return {
    messages: after.messages - (before?.messages ?? 0),
    bytes: after.bytes - (before?.bytes ?? 0),
  };
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((a, b) => a + b, 0);
}

function quantile(numbers: readonly number[], share: number): number {
  const sorted = [...numbers].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) * share)] ?? Infinity;
}

export function round(number: number, digits = 2): number {
  return Number(number.toFixed(digits));
}
