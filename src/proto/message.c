#include "azurerock/message.h"
#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>
#include <string.h>

#define PROGRAM 0x20415A52
#define PROGRAM_VERSION 1
#define RECORD_MARK_BYTES 4
#define LAST_FRAGMENT 0x80000000u

/* The header has ten words: xid, direction, RPC version, program, version, procedure, and flavor
 * and length of the empty credentials and of the empty verifier. */
#define CALL_HEADER_BYTES 40

/* Most messages fit into this size, which saves the pass that computes the size of a longer one. */
#define SHORT_MESSAGE_BYTES 512

GQuark
az_message_error_quark (void)
{
  return g_quark_from_static_string ("az-message-error-quark");
}

struct procedure
{
  const char *name;
  xdrproc_t body;
};

static bool_t
xdr_empty_body (XDR *xdrs, ...)
{
  (void)xdrs;
  return TRUE;
}

static const struct procedure procedures[] = {
  [AZ_PROC_NULL] = { "NULL", xdr_empty_body },
  [AZ_HELLO] = { "HELLO", (xdrproc_t)xdr_az_hello },
  [AZ_WELCOME] = { "WELCOME", (xdrproc_t)xdr_az_welcome },
  [AZ_HEARTBEAT] = { "HEARTBEAT", (xdrproc_t)xdr_az_heartbeat },
  [AZ_HEARTBEAT_ACK] = { "HEARTBEAT_ACK", (xdrproc_t)xdr_az_heartbeat_ack },
  [AZ_VIEW] = { "VIEW", (xdrproc_t)xdr_az_view },
  [AZ_TABLE] = { "TABLE", (xdrproc_t)xdr_az_table },
  [AZ_GRANT] = { "GRANT", (xdrproc_t)xdr_az_grants },
  [AZ_RECALL] = { "RECALL", (xdrproc_t)xdr_az_grant_ids },
  [AZ_RETURN] = { "RETURN", (xdrproc_t)xdr_az_grant_ids },
  [AZ_DEMAND] = { "DEMAND", (xdrproc_t)xdr_az_demand },
  [AZ_START] = { "START", (xdrproc_t)xdr_az_start },
  [AZ_RESULT] = { "RESULT", (xdrproc_t)xdr_az_result },
  [AZ_REFUSED] = { "REFUSED", (xdrproc_t)xdr_az_refused },
  [AZ_CANCEL] = { "CANCEL", (xdrproc_t)xdr_az_cancel },
  [AZ_QUERY] = { "QUERY", (xdrproc_t)xdr_az_query },
  [AZ_FATE] = { "FATE", (xdrproc_t)xdr_az_fate },
  [AZ_RECOVER] = { "RECOVER", (xdrproc_t)xdr_az_recover },
  [AZ_RECORDS] = { "RECORDS", (xdrproc_t)xdr_az_records },
  [AZ_PEER_HELLO] = { "PEER_HELLO", (xdrproc_t)xdr_az_peer_hello },
  [AZ_PEER_STATE] = { "PEER_STATE", (xdrproc_t)xdr_az_peer_state },
  [AZ_PEER_STATE_ACK] = { "PEER_STATE_ACK", (xdrproc_t)xdr_az_peer_state_ack },
  [AZ_CONFIG] = { "CONFIG", (xdrproc_t)xdr_az_config },
  [AZ_SUBMIT] = { "SUBMIT", (xdrproc_t)xdr_az_submit },
  [AZ_ANSWER] = { "ANSWER", (xdrproc_t)xdr_az_answer },
  [AZ_CANCEL_JOB] = { "CANCEL_JOB", (xdrproc_t)xdr_az_cancel_job },
  [AZ_NODE_HELLO] = { "NODE_HELLO", (xdrproc_t)xdr_az_node_hello },
  [AZ_NODE_GATEWAYS] = { "NODE_GATEWAYS", (xdrproc_t)xdr_az_node_gateways },
  [AZ_NODE_CATALOG] = { "NODE_CATALOG", (xdrproc_t)xdr_az_node_catalog },
  [AZ_NODE_WITHDRAWN] = { "NODE_WITHDRAWN", (xdrproc_t)xdr_az_node_withdrawn },
  [AZ_NODE_UPSTREAM] = { "NODE_UPSTREAM", (xdrproc_t)xdr_az_node_upstream },
  [AZ_NODE_RUN] = { "NODE_RUN", (xdrproc_t)xdr_az_node_run },
  [AZ_NODE_STOP] = { "NODE_STOP", (xdrproc_t)xdr_az_node_stop },
  [AZ_NODE_REPORT] = { "NODE_REPORT", (xdrproc_t)xdr_az_node_report },
  [AZ_NODE_PULSE] = { "NODE_PULSE", (xdrproc_t)xdr_az_node_pulse },
  [AZ_NODE_CRASH] = { "NODE_CRASH", (xdrproc_t)xdr_az_node_crash },
  [AZ_NODE_CANCEL] = { "NODE_CANCEL", (xdrproc_t)xdr_az_node_cancel },
  [AZ_NODE_CANCELLED] = { "NODE_CANCELLED", (xdrproc_t)xdr_az_node_cancelled },
  [AZ_NODE_INTERFERENCE] = { "NODE_INTERFERENCE", (xdrproc_t)xdr_az_node_interference },
  [AZ_NODE_EVIDENCE] = { "NODE_EVIDENCE", (xdrproc_t)xdr_az_node_evidence },
};

static const struct procedure *
find_procedure (u_long number)
{
  return number < G_N_ELEMENTS (procedures) ? &procedures[number] : NULL;
}

const char *
az_message_name (az_proc proc)
{
  const struct procedure *procedure = find_procedure ((u_long)proc);

  return procedure ? procedure->name : "unknown";
}

static bool_t
encode_call (XDR *xdrs, const struct az_message *message, uint32_t xid)
{
  struct rpc_msg call;

  memset (&call, 0, sizeof call);
  call.rm_xid = xid;
  call.rm_direction = CALL;
  call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  call.rm_call.cb_prog = PROGRAM;
  call.rm_call.cb_vers = PROGRAM_VERSION;
  call.rm_call.cb_proc = (rpcproc_t)message->proc;
  call.rm_call.cb_cred = _null_auth;
  call.rm_call.cb_verf = _null_auth;
  return xdr_callmsg (xdrs, &call);
}

/* Appends the record to @out if header and body fit into @size bytes; otherwise leaves @out
 * unchanged. */
static gboolean
append_record (const struct az_message *message, uint32_t xid, GByteArray *out, guint size)
{
  const struct procedure *procedure = find_procedure ((u_long)message->proc);
  guint start = out->len;
  u_int length = 0;
  uint32_t mark;
  gboolean done;
  XDR xdrs;

  g_byte_array_set_size (out, start + RECORD_MARK_BYTES + size);
  xdrmem_create (&xdrs, (char *)out->data + start + RECORD_MARK_BYTES, size, XDR_ENCODE);
  done = encode_call (&xdrs, message, xid)
         && procedure->body (&xdrs, (void *)&message->az_message_u);
  if (done)
    length = XDR_GETPOS (&xdrs);
  XDR_DESTROY (&xdrs);
  g_byte_array_set_size (out, done ? start + RECORD_MARK_BYTES + length : start);
  mark = GUINT32_TO_BE (length | LAST_FRAGMENT);
  if (done)
    memcpy (out->data + start, &mark, RECORD_MARK_BYTES);
  return done;
}

gboolean
az_message_encode (const struct az_message *message, uint32_t xid, GByteArray *out, GError **error)
{
  const struct procedure *procedure = find_procedure ((u_long)message->proc);
  u_long body;

  if (!procedure)
    {
      g_set_error (error, AZ_MESSAGE_ERROR, AZ_MESSAGE_ERROR_PROCEDURE, "unknown procedure %u",
                   message->proc);
      return FALSE;
    }
  if (append_record (message, xid, out, SHORT_MESSAGE_BYTES))
    return TRUE;
  /* xdr_sizeof() returns 0 if a field exceeds its maximum length. */
  body = xdr_sizeof (procedure->body, (void *)&message->az_message_u);
  if (body > 0 && body + CALL_HEADER_BYTES <= AZ_RECORD_MAX
      && append_record (message, xid, out, (guint)body + CALL_HEADER_BYTES))
    return TRUE;
  g_set_error (error, AZ_MESSAGE_ERROR, AZ_MESSAGE_ERROR_TOO_LONG,
               "%s: a field or the whole record is longer than allowed", procedure->name);
  return FALSE;
}

static uint32_t
read_record_mark (const uint8_t *data)
{
  uint32_t mark;

  memcpy (&mark, data, RECORD_MARK_BYTES);
  return GUINT32_FROM_BE (mark);
}

gssize
az_message_record_length (const uint8_t *data, size_t length, GError **error)
{
  uint32_t mark;
  uint32_t body;

  if (length < RECORD_MARK_BYTES)
    return 0;
  mark = read_record_mark (data);
  body = mark & ~LAST_FRAGMENT;
  if (!(mark & LAST_FRAGMENT))
    {
      g_set_error_literal (error, AZ_MESSAGE_ERROR, AZ_MESSAGE_ERROR_MALFORMED,
                           "record mark without the last-fragment bit: records of several "
                           "fragments are not supported");
      return -1;
    }
  if (body > AZ_RECORD_MAX)
    {
      g_set_error (error, AZ_MESSAGE_ERROR, AZ_MESSAGE_ERROR_TOO_LONG,
                   "record of %u bytes is too long; at most 8388608 are allowed", body);
      return -1;
    }
  return length - RECORD_MARK_BYTES >= body ? (gssize)body + RECORD_MARK_BYTES : 0;
}

static const struct procedure *
check_call (const struct rpc_msg *call, GError **error)
{
  const struct procedure *procedure = find_procedure (call->rm_call.cb_proc);

  if (call->rm_call.cb_prog != PROGRAM || call->rm_call.cb_vers != PROGRAM_VERSION)
    {
      g_set_error (error, AZ_MESSAGE_ERROR, AZ_MESSAGE_ERROR_VERSION,
                   "RPC program %lu version %lu; only program 541153874 version 1 is supported",
                   (u_long)call->rm_call.cb_prog, (u_long)call->rm_call.cb_vers);
      return NULL;
    }
  if (!procedure)
    g_set_error (error, AZ_MESSAGE_ERROR, AZ_MESSAGE_ERROR_PROCEDURE, "unknown procedure %lu",
                 (u_long)call->rm_call.cb_proc);
  return procedure;
}

/* Decodes the call header. Credentials and verifier must be AUTH_NONE. */
static const struct procedure *
decode_call (XDR *xdrs, struct az_message *message, GError **error)
{
  char credentials[MAX_AUTH_BYTES];
  char verifier[MAX_AUTH_BYTES];
  struct rpc_msg call;

  memset (&call, 0, sizeof call);
  call.rm_call.cb_cred.oa_base = credentials;
  call.rm_call.cb_verf.oa_base = verifier;
  if (!xdr_callmsg (xdrs, &call) || call.rm_call.cb_cred.oa_flavor != AUTH_NONE
      || call.rm_call.cb_cred.oa_length != 0 || call.rm_call.cb_verf.oa_flavor != AUTH_NONE
      || call.rm_call.cb_verf.oa_length != 0)
    {
      g_set_error_literal (error, AZ_MESSAGE_ERROR, AZ_MESSAGE_ERROR_MALFORMED,
                           "invalid RPC call header, or credentials other than AUTH_NONE");
      return NULL;
    }
  message->proc = (az_proc)call.rm_call.cb_proc;
  return check_call (&call, error);
}

static gboolean
is_status (az_status status)
{
  return (unsigned)status <= AZ_STATUS_RUNNING;
}

/* XDR accepts any number for an enumeration, but receivers use these as indexes of tables. */
static gboolean
are_enumerations_valid (const struct az_message *message)
{
  const struct az_result *result = &message->az_message_u.result;
  const struct az_refused *refused = &message->az_message_u.refused;
  const struct az_fate *fate = &message->az_message_u.fate;
  const struct az_records *records = &message->az_message_u.records;
  gboolean valid = TRUE;

  if (message->proc == AZ_RESULT)
    for (u_int i = 0; i < result->results.results_len; i++)
      valid &= is_status (result->results.results_val[i].status);
  if (message->proc == AZ_REFUSED)
    for (u_int i = 0; i < refused->tasks.tasks_len; i++)
      valid &= (unsigned)refused->tasks.tasks_val[i].reason <= AZ_REFUSAL_UPSTREAM;
  if (message->proc == AZ_FATE)
    for (u_int i = 0; i < fate->tasks.tasks_len; i++)
      valid &= is_status (fate->tasks.tasks_val[i].status);
  if (message->proc == AZ_RECORDS)
    for (u_int i = 0; i < records->records.records_len; i++)
      valid &= is_status (records->records.records_val[i].status);
  if (message->proc == AZ_NODE_REPORT)
    for (u_int i = 0; i < message->az_message_u.node_report.events.events_len; i++)
      valid &= (unsigned)message->az_message_u.node_report.events.events_val[i].how
               <= AZ_TASK_CRASHED;
  if (message->proc == AZ_ANSWER)
    valid &= (unsigned)message->az_message_u.answer.outcome <= AZ_OUTCOME_UNKNOWN;
  return valid;
}

static gboolean
decode_body (XDR *xdrs,
             const struct procedure *procedure,
             size_t length,
             struct az_message *message,
             GError **error)
{
  if (procedure->body (xdrs, (void *)&message->az_message_u) && XDR_GETPOS (xdrs) == length
      && are_enumerations_valid (message))
    return TRUE;
  g_set_error (error, AZ_MESSAGE_ERROR, AZ_MESSAGE_ERROR_MALFORMED, "malformed %s",
               procedure->name);
  az_message_clear (message);
  return FALSE;
}

gboolean
az_message_decode (const uint8_t *record, size_t length, struct az_message *message, GError **error)
{
  const struct procedure *procedure;
  gboolean done;
  XDR xdrs;

  memset (message, 0, sizeof *message);
  if (length < RECORD_MARK_BYTES || length - RECORD_MARK_BYTES > AZ_RECORD_MAX
      || read_record_mark (record) != ((uint32_t)(length - RECORD_MARK_BYTES) | LAST_FRAGMENT))
    {
      g_set_error_literal (error, AZ_MESSAGE_ERROR, AZ_MESSAGE_ERROR_MALFORMED,
                           "record mark doesn't match the length of the record");
      return FALSE;
    }
  xdrmem_create (&xdrs, (char *)record + RECORD_MARK_BYTES, (u_int)length - RECORD_MARK_BYTES,
                 XDR_DECODE);
  procedure = decode_call (&xdrs, message, error);
  done = procedure && decode_body (&xdrs, procedure, length - RECORD_MARK_BYTES, message, error);
  XDR_DESTROY (&xdrs);
  return done;
}

void
az_message_clear (struct az_message *message)
{
  const struct procedure *procedure = find_procedure ((u_long)message->proc);

  if (procedure && message->proc != AZ_PROC_NULL)
    xdr_free (procedure->body, (char *)&message->az_message_u);
  memset (message, 0, sizeof *message);
}
