#include "azurerock/table.h"
#include <glib.h>
#include <stdbool.h>
#include <string.h>

/* A handle is generation << INDEX_BITS | (index + 1), so 0 is never a valid handle. */
#define INDEX_BITS 20
#define INDEX_MASK ((1u << INDEX_BITS) - 1)
#define GENERATION_MASK ((1u << (32 - INDEX_BITS)) - 1)

struct slot
{
  uint32_t generation;
  uint32_t next_free; /* index + 1 of the next free slot, 0 at the end of the list */
  bool used;
};

struct az_table_rows
{
  size_t row_size;
  struct slot *slots;
  uint8_t *rows;
  uint32_t size;
  uint32_t capacity;
  uint32_t first_free; /* index + 1 of the head of the free list, 0 if it is empty */
  uint32_t count;
};

struct az_table_rows *
az_table_rows_create (size_t row_size)
{
  struct az_table_rows *rows = g_new0 (struct az_table_rows, 1);

  rows->row_size = row_size;
  return rows;
}

void
az_table_rows_destroy (struct az_table_rows *rows)
{
  if (!rows)
    return;
  g_free (rows->slots);
  g_free (rows->rows);
  g_free (rows);
}

static uint32_t
make_handle (const struct az_table_rows *rows, uint32_t index)
{
  return (rows->slots[index].generation << INDEX_BITS) | (index + 1);
}

static uint32_t
allocate_slot (struct az_table_rows *rows)
{
  uint32_t index;

  if (rows->first_free)
    {
      index = rows->first_free - 1;
      rows->first_free = rows->slots[index].next_free;
      return index;
    }
  g_assert (rows->size < INDEX_MASK);
  if (rows->size == rows->capacity)
    {
      rows->capacity = rows->capacity ? 2 * rows->capacity : 16;
      rows->slots = g_renew (struct slot, rows->slots, rows->capacity);
      rows->rows = g_realloc_n (rows->rows, rows->capacity, rows->row_size);
    }
  index = rows->size++;
  rows->slots[index] = (struct slot){ 0 };
  return index;
}

uint32_t
az_table_rows_add (struct az_table_rows *rows, void **row)
{
  uint32_t index = allocate_slot (rows);
  void *address = rows->rows + (size_t)index * rows->row_size;

  rows->slots[index].used = true;
  rows->count++;
  memset (address, 0, rows->row_size);
  if (row)
    *row = address;
  return make_handle (rows, index);
}

void *
az_table_rows_get (const struct az_table_rows *rows, uint32_t handle)
{
  uint32_t index = (handle & INDEX_MASK) - 1;

  if (!handle || index >= rows->size || !rows->slots[index].used)
    return NULL;
  if (rows->slots[index].generation != handle >> INDEX_BITS)
    return NULL;
  return rows->rows + (size_t)index * rows->row_size;
}

void
az_table_rows_remove (struct az_table_rows *rows, uint32_t handle)
{
  uint32_t index = (handle & INDEX_MASK) - 1;

  if (!az_table_rows_get (rows, handle))
    return;
  rows->slots[index].used = false;
  rows->slots[index].generation = (rows->slots[index].generation + 1) & GENERATION_MASK;
  rows->slots[index].next_free = rows->first_free;
  rows->first_free = index + 1;
  rows->count--;
}

uint32_t
az_table_rows_next (const struct az_table_rows *rows, uint32_t handle)
{
  for (uint32_t index = handle & INDEX_MASK; index < rows->size; index++)
    if (rows->slots[index].used)
      return make_handle (rows, index);
  return 0;
}

uint32_t
az_table_rows_count (const struct az_table_rows *rows)
{
  return rows->count;
}
