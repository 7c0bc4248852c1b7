#ifndef AZUREROCK_TABLE_H
#define AZUREROCK_TABLE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Table of fixed-size rows addressed by 32-bit handles. A handle includes the generation of its
 * slot, so the handle of a removed row finds nothing even after the slot is reused. 0 is never a
 * valid handle. Row pointers are valid until the next az_table_rows_add().
 */
struct az_table_rows;

struct az_table_rows *
az_table_rows_create (size_t row_size);
void
az_table_rows_destroy (struct az_table_rows *rows);

/** az_table_rows_add - adds a zeroed row; @row receives its address */
uint32_t
az_table_rows_add (struct az_table_rows *rows, void **row);

/** az_table_rows_get - the row of @handle, or NULL if it was removed */
void *
az_table_rows_get (const struct az_table_rows *rows, uint32_t handle);
void
az_table_rows_remove (struct az_table_rows *rows, uint32_t handle);

/** az_table_rows_next - handle of the row after @handle in slot order, or 0; pass 0 to start */
uint32_t
az_table_rows_next (const struct az_table_rows *rows, uint32_t handle);
uint32_t
az_table_rows_count (const struct az_table_rows *rows);

#endif
