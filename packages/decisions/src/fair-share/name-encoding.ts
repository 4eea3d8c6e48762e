/**
 * Dictionary encoding of names on an ordered link. The encoder numbers each name when it first sends
 * it, and the decoder assigns the same numbers in the order of arrival. Each link has its own
 * dictionary, which is empty on both sides when the link opens.
 */

/** A list of names as indices into the dictionary of the link. */
export interface EncodedNames {
  /** Names sent for the first time; they receive the next numbers in order. */
  added?: string[];
  numbers: number[];
}

/** Encodes names for one link. */
export class NameEncoder {
  private readonly numbers = new Map<string, number>();

  encode(names: readonly string[]): EncodedNames {
    const added: string[] = [];
    const numbers = names.map((name) => {
      const knownNumber = this.numbers.get(name);
      if (knownNumber !== undefined) return knownNumber;
      added.push(name);
      this.numbers.set(name, this.numbers.size);
      return this.numbers.size - 1;
    });
    return added.length > 0 ? { added, numbers } : { numbers };
  }
}

/** Decodes the output of a `NameEncoder`, which must arrive complete and in order. */
export class NameDecoder {
  private readonly names: string[] = [];

  /** Throws if a number was never assigned. */
  decode({ added = [], numbers }: EncodedNames): string[] {
    this.names.push(...added);
    return numbers.map((number) => {
      const name = this.names[number];
      if (name === undefined) throw new Error(`no name has the number ${number}`);
      return name;
    });
  }
}
