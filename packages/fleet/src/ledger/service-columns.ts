/**
 * Service on the wire: columns of equal length, names as numbers, amounts in tenths of a cost unit,
 * since whole numbers take half the bytes. Amounts are cumulative, so rounding does not add up.
 */
import type { AccountEntry, ServiceTotals } from '@poplarpick/decisions';
import { NameDecoder, NameEncoder } from '@poplarpick/decisions';
import type { EntryColumns, TotalColumns } from '../messages.ts';

const WIRE_UNITS_PER_COST_UNIT = 10;

/** Writes columns for one direction of one link. */
export class ServiceColumnEncoder {
  private readonly nameEncoder = new NameEncoder();

  encodeEntries(entries: readonly AccountEntry[]): EntryColumns {
    return {
      ...this.nameEncoder.encode(entries.map(({ workspace }) => workspace)),
      services: entries.map(({ service }) => toWireUnits(service)),
      pendings: entries.map(({ pending }) => toWireUnits(pending)),
    };
  }

  encodeTotals({ workspaces, services }: ServiceTotals): TotalColumns {
    return { ...this.nameEncoder.encode(workspaces), services: services.map(toWireUnits) };
  }
}

/** Reads columns from one direction of one link. */
export class ServiceColumnDecoder {
  private readonly nameDecoder = new NameDecoder();

  decodeEntries(columns: EntryColumns): AccountEntry[] {
    return this.nameDecoder.decode(columns).map((workspace, index) => ({
      workspace,
      service: fromWireUnits(columns.services[index]),
      pending: fromWireUnits(columns.pendings[index]),
    }));
  }

  decodeTotals(columns: TotalColumns): ServiceTotals {
    return {
      workspaces: this.nameDecoder.decode(columns),
      services: columns.services.map(fromWireUnits),
    };
  }
}

/** The amount as it arrives on the other side. */
export function roundToWirePrecision(cost: number): number {
  return fromWireUnits(toWireUnits(cost));
}

function toWireUnits(cost: number): number {
  return Math.round(cost * WIRE_UNITS_PER_COST_UNIT);
}

function fromWireUnits(units: number | undefined): number {
  return (units ?? 0) / WIRE_UNITS_PER_COST_UNIT;
}
