/**
 * Service on the wire: columns of equal length, names as numbers, amounts in tenths of a cost unit,
 * since whole numbers take half the bytes. Amounts are cumulative, so rounding does not add up.
 */
import type { AccountEntry, ServiceTotals } from '@poplarpick/decisions';
import { NameDecoder, NameEncoder } from '@poplarpick/decisions';
import type { EntryColumns, TotalColumns } from '../messages.ts';

const UNITS_PER_COST = 10;

/** Writes columns for one direction of one link. */
export class ServiceColumnEncoder {
  private readonly names = new NameEncoder();

  encodeEntries(entries: readonly AccountEntry[]): EntryColumns {
    return {
      ...this.names.encode(entries.map(({ workspace }) => workspace)),
      services: entries.map(({ service }) => toUnits(service)),
      pendings: entries.map(({ pending }) => toUnits(pending)),
    };
  }

  encodeTotals({ workspaces, services }: ServiceTotals): TotalColumns {
    return { ...this.names.encode(workspaces), services: services.map(toUnits) };
  }
}

/** Reads columns from one direction of one link. */
export class ServiceColumnDecoder {
  private readonly names = new NameDecoder();

  decodeEntries(columns: EntryColumns): AccountEntry[] {
    return this.names.decode(columns).map((workspace, index) => ({
      workspace,
      service: toCost(columns.services[index]),
      pending: toCost(columns.pendings[index]),
    }));
  }

  decodeTotals(columns: TotalColumns): ServiceTotals {
    return { workspaces: this.names.decode(columns), services: columns.services.map(toCost) };
  }
}

/** The amount as it arrives on the other side. */
export function roundToWirePrecision(cost: number): number {
  return toCost(toUnits(cost));
}

function toUnits(cost: number): number {
  return Math.round(cost * UNITS_PER_COST);
}

function toCost(units: number | undefined): number {
  return (units ?? 0) / UNITS_PER_COST;
}
