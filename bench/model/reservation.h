#ifndef AZUREROCK_MODEL_RESERVATION_H
#define AZUREROCK_MODEL_RESERVATION_H

#include "azurerock/team_queue.h"
#include "model.h"

/*
 * Reservation with late binding (design page, section 4): agents grant free slots to entries. Tasks
 * wait at entries and are sent only with a grant.
 */

/* The one team and group of the model. */
#define RESERVATION_TEAM 0
#define RESERVATION_GROUP 0

/* State that an agent keeps for an entry. */
struct agent_side
{
  uint32_t granted;     /* unused grants, including those in transit */
  GQueue granted_at_us; /* time of each grant, oldest first */
  uint32_t recalled;    /* how many of @granted are recalled */
  uint32_t demand;
  int64_t demand_since_us;
};

/* State that an entry keeps for an agent. */
struct entry_side
{
  uint32_t grants;
  uint32_t epoch;     /* epoch of the agent when it issued the grants */
  uint32_t requested; /* demand sent to the agent, less the grants received since */
};

struct entry_state
{
  struct az_team_queue *queue;
  GHashTable *next_task; /* next task to start by job handle (job + 1) */
  GQueue refused_tasks;  /* tasks that an agent refused; they are sent first */
  GQueue waiting_jobs;   /* job handles by arrival, for the age of the oldest */
  struct entry_side agents[MODEL_AGENTS_MAX];
};

struct reservation_state
{
  struct agent_side sides[MODEL_AGENTS_MAX][MODEL_ENTRIES_MAX];
  bool recall_timer[MODEL_AGENTS_MAX];
  struct entry_state entries[MODEL_ENTRIES_MAX];
};

static inline struct reservation_state *
reservation_of (const struct model *model)
{
  return model->state;
}

/* Agent side. */

/** reservation_agent_allocate - grants free slots; @result_entry is the entry to which a RESULT
 * goes at the same time, or MODEL_ENTRIES_MAX */
void
reservation_agent_allocate (struct model *model, uint32_t agent, uint32_t result_entry);

/** reservation_agent_start - handles START, in which @a is the demand that remains and @b the
 * arrival time of the oldest waiting job */
void
reservation_agent_start (struct model *model, const struct model_event *event);
void
reservation_agent_demand (struct model *model, const struct model_event *event);
void
reservation_agent_return (struct model *model, const struct model_event *event);
void
reservation_agent_changed (struct model *model, uint32_t agent);

/* Entry side. */

/** reservation_entry_grant - handles GRANT, in which @a is the number of grants and @b is 1 if
 * other entries have demand */
void
reservation_entry_grant (struct model *model, const struct model_event *event);
void
reservation_entry_recall (struct model *model, const struct model_event *event);
void
reservation_entry_refused (struct model *model, const struct model_event *event);
void
reservation_entry_dispatch (struct model *model, uint32_t entry);

#endif
