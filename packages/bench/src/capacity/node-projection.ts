/** Projects the lines that routers and sidecars have in common: what control costs each of them. */
import { createLine } from './capacity-line.ts';
import type { CapacityLine } from './capacity-line.ts';
import { configurationChangeTerm, configurationMemoryTerm } from './capacity-terms.ts';
import type { CapacityTerm, TermBuilder } from './capacity-terms.ts';
import { LIMITS } from './design-size.ts';
import type { NodeRates } from './node-rates.ts';
import type { MeasuredSlope } from './slopes.ts';

/** A node of one role at the design size. */
export interface DesignNode {
  role: MeasuredSlope['role'];
  builder: TermBuilder;
  /** Terms of the links without load. */
  linkTerms: (quantity: keyof NodeRates) => CapacityTerm[];
  /** Terms of the requests and of the workspaces that wait. */
  loadTerms: (quantity: keyof NodeRates) => CapacityTerm[];
}

/** Bytes a second of control messages. */
export function projectControlVolume(node: DesignNode, remark: string): CapacityLine {
  return createLine({
    role: node.role,
    quantity: 'control volume',
    unit: 'bytes/s',
    limit: LIMITS.controlBytesPerSecond,
    terms: [
      ...node.linkTerms('controlBytes'),
      ...node.loadTerms('controlBytes'),
      configurationChangeTerm(node.builder, node.role, 'controlBytes'),
    ],
    mechanism: 'heartbeats, backlog notices, claims, reports, changes of the configuration',
    remark,
  });
}

/** Control messages a second. */
export function projectControlMessages(node: DesignNode, remark: string): CapacityLine {
  return createLine({
    role: node.role,
    quantity: 'control messages',
    unit: 'messages/s',
    terms: [...node.linkTerms('controlMessages'), ...node.loadTerms('controlMessages')],
    mechanism: 'the same',
    remark,
  });
}

/** Processor time of control, in cores. */
export function projectControlCpu(node: DesignNode): CapacityLine {
  return createLine({
    role: node.role,
    quantity: 'processor time of control',
    unit: 'cores',
    limit: LIMITS.controlCpu,
    terms: [...node.linkTerms('cpu'), configurationChangeTerm(node.builder, node.role, 'cpu')],
    mechanism: 'links without load; taking in of each revision',
    remark: 'reports and heartbeats, message by message',
  });
}

/** Private memory of the process, in bytes. */
export function projectMemory(node: DesignNode, remark: string): CapacityLine {
  return createLine({
    role: node.role,
    quantity: 'private memory',
    unit: 'bytes',
    limit: LIMITS.controlMemoryBytes,
    terms: [...node.linkTerms('anonBytes'), configurationMemoryTerm(node.builder)],
    mechanism: 'runtime and libraries, link buffers, the parsed configuration',
    remark,
  });
}
