/**
 * Wire encoding of service reports: columns of equal length with numbered names and with amounts in
 * tenths of a cost unit, since integers take half the bytes of floating-point numbers. Amounts are
 * cumulative, so rounding errors do not accumulate.
 */
import type { AccountEntry, ServiceTotals } from '@poplarpick/decisions';
import { NameDecoder, NameEncoder } from '@poplarpick/decisions';
import type { EntryColumns, TotalColumns } from '../messages.ts';

const WIRE_UNITS_PER_COST_UNIT = 10;

/** Encodes columns for one direction of one link; numbers names in the order of their first use. */
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

/** Decodes the columns of a `ServiceColumnEncoder`, which must arrive in the order of encoding. */
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

/** Rounds a cost to the value that the receiver decodes. */
export function roundToWirePrecision(cost: number): number {
  return fromWireUnits(toWireUnits(cost));
}

function toWireUnits(cost: number): number {
  return Math.round(cost * WIRE_UNITS_PER_COST_UNIT);
}

function fromWireUnits(units: number | undefined): number {
  return (units ?? 0) / WIRE_UNITS_PER_COST_UNIT;
}
