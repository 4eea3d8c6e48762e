/**
 * Measures the cost of the fleet configuration by its size: document bytes, compressed bytes, time to
 * parse and validate it, and heap that the parsed document retains.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { deflateSync } from 'node:zlib';
import { parseFleetConfiguration } from '@poplarpick/decisions';
import { computeSpread } from '@poplarpick/load';
import { renderConfiguration } from '@poplarpick/stand-ins';
import { DESIGN_SIZE } from './design-size.ts';
import { planModelSite } from './model-site.ts';

/** Measured cost of one document. */
export interface ConfigurationPoint {
  /** Number of workspaces and endpoints as a share of the design size. */
  share: number;
  documentBytes: number;
  compressedBytes: number;
  parseMs: number;
  heapBytes: number;
}

const DEFAULT_SHARES = [0.125, 0.25, 0.5, 1];
const REPEATS = 5;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Measures documents with several shares of the design size's workspaces and endpoints. */
export function measureConfigurations(shares = DEFAULT_SHARES): ConfigurationPoint[] {
  return shares.map(measureConfiguration);
}

/** Renders a document with a share of the design size's workspaces and endpoints. */
export function renderDesignDocument(share: number, revision: number): string {
  const plan = planModelSite({
    sidecars: Math.round(DESIGN_SIZE.sidecars * share),
    workspaces: Math.round(DESIGN_SIZE.workspaces * share),
  });
  return renderConfiguration(plan, { revision });
}

function measureConfiguration(share: number): ConfigurationPoint {
  const text = renderDesignDocument(share, 1);
  const times = Array.from({ length: REPEATS }, () => timeParse(text));
  return {
    share,
    documentBytes: Buffer.byteLength(text),
    compressedBytes: deflateSync(text).length,
    parseMs: computeSpread(times).median,
    heapBytes: measureHeap(text),
  };
}

function timeParse(text: string): number {
  const startedAt = performance.now();
  parseFleetConfiguration(text, 'capacity');
  return performance.now() - startedAt;
}

function measureHeap(text: string): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const retained = [parseFleetConfiguration(text, 'capacity')];
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  retained.length = 0;
  return after - before;
}
