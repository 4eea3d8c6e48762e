/** Name and version of the product. */

export const PRODUCT_NAME = 'poplarpick';
export const VERSION = '0.1.0';
