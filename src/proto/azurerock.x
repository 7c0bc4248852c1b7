/*
 * Messages between azurerock's own processes. Every message is a one-way ONC RPC call;
 * identity is carried in the body. All lengths are bounded here.
 */
const AZ_MAX_JOB_ID = 80;
const AZ_MAX_NAME = 64;
const AZ_MAX_ADDRESS = 64;
const AZ_MAX_PAYLOAD = 65536;
const AZ_MAX_TASKS = 4096;
const AZ_MAX_GRANTS = 1024;
const AZ_MAX_TEXT = 256;
const AZ_MAX_ENTRIES = 64;
const AZ_MAX_TEAMS = 256;
const AZ_MAX_CONFIG = 1048576;
const AZ_PARTITIONS = 64;

typedef string az_job_id<AZ_MAX_JOB_ID>;
typedef string az_name<AZ_MAX_NAME>;
typedef string az_address<AZ_MAX_ADDRESS>;
typedef string az_text<AZ_MAX_TEXT>;
typedef opaque az_payload<AZ_MAX_PAYLOAD>;

/* Identity of one attempt to run one task. */
struct az_attempt {
	az_job_id job;
	unsigned int task;
	unsigned int attempt;
};

struct az_hello {
	unsigned hyper incarnation;
	az_name instance;
	az_name upstream;
	az_name domain;
	unsigned int slots;
	unsigned hyper revision;
	unsigned hyper table_version;
};

struct az_welcome {
	unsigned hyper incarnation;
	az_name instance;
};

/* sent_ns is the sender's monotonic clock; only the sender interprets it. */
struct az_heartbeat {
	unsigned hyper sent_ns;
	unsigned hyper revision;
	unsigned hyper table_version;
	unsigned int running;
	bool stopping;
};

struct az_heartbeat_ack {
	unsigned hyper sent_ns;
	unsigned int evidence_age_ms;
	unsigned hyper revision;
	unsigned hyper table_version;
	unsigned hyper result_sequence;
};

/* The part of the configuration that one agent needs. */
struct az_view {
	unsigned hyper revision;
	bool in_service;
	unsigned int slots;
	unsigned int connections;
	unsigned int task_timeout_ms;
};

struct az_roster_entry {
	unsigned hyper incarnation;
	az_name instance;
	az_name domain;
	az_address rpc_address;
	az_address http_address;
	unsigned hyper joined;
};

/* Ids first submitted at or after from_ms (Unix time) belong to owner, older ones to previous. */
struct az_partition {
	unsigned hyper owner;
	unsigned hyper from_ms;
	unsigned hyper previous;
};

struct az_table {
	unsigned hyper table_version;
	az_roster_entry roster<AZ_MAX_ENTRIES>;
	az_partition partitions<AZ_PARTITIONS>;
};

struct az_grant {
	unsigned hyper id;
	unsigned int remaining_ms;
};

struct az_grants {
	az_grant grants<AZ_MAX_GRANTS>;
};

struct az_grant_ids {
	unsigned hyper ids<AZ_MAX_GRANTS>;
};

struct az_demand {
	unsigned int waiting;
	unsigned int oldest_ms;
};

struct az_start_task {
	az_attempt id;
	unsigned int job_tasks;
	unsigned hyper grant;
	unsigned int remaining_ms;
	unsigned int timeout_ms;
	az_payload payload;
};

struct az_start {
	az_name team;
	az_name service;
	az_start_task tasks<AZ_MAX_GRANTS>;
	az_demand demand;
};

enum az_status {
	AZ_STATUS_OK = 0,
	AZ_STATUS_FAILED = 1,
	AZ_STATUS_UNKNOWN = 2,
	AZ_STATUS_NOT_STARTED = 3,
	AZ_STATUS_RUNNING = 4
};

struct az_result_task {
	unsigned hyper sequence;
	az_attempt id;
	az_status status;
	unsigned int run_us;
	az_payload payload;
};

struct az_result {
	az_result_task results<AZ_MAX_GRANTS>;
	az_grant grants<AZ_MAX_GRANTS>;
};

enum az_refusal {
	AZ_REFUSAL_GRANT = 0,
	AZ_REFUSAL_OWNER = 1,
	AZ_REFUSAL_EVIDENCE = 2,
	AZ_REFUSAL_WITHDRAWN = 3,
	AZ_REFUSAL_DEADLINE = 4,
	AZ_REFUSAL_DUPLICATE = 5,
	AZ_REFUSAL_FENCED = 6,
	AZ_REFUSAL_STOPPING = 7,
	AZ_REFUSAL_UPSTREAM = 8
};

struct az_refused_task {
	az_attempt id;
	az_refusal reason;
};

struct az_refused {
	az_refused_task tasks<AZ_MAX_GRANTS>;
};

struct az_cancel {
	az_job_id job;
};

struct az_query {
	az_attempt attempts<AZ_MAX_TASKS>;
};

/* NOT_STARTED in a fate means fenced: the agent refuses this attempt from now on. */
struct az_fate_task {
	az_attempt id;
	az_status status;
	az_payload payload;
};

struct az_fate {
	az_fate_task tasks<AZ_MAX_TASKS>;
};

/* Bit p of partitions selects partition p. */
struct az_recover {
	unsigned hyper partitions;
};

struct az_record {
	az_attempt id;
	unsigned int job_tasks;
	az_status status;
	az_payload payload;
};

struct az_records {
	unsigned hyper partitions;
	bool complete;
	az_record records<AZ_MAX_TASKS>;
};

struct az_peer_hello {
	unsigned hyper incarnation;
	az_name instance;
};

struct az_team_claim {
	az_name team;
	unsigned int claim;
	unsigned int running;
	unsigned int waiting;
};

struct az_peer_state {
	unsigned hyper sent_ns;
	unsigned hyper revision;
	unsigned hyper table_version;
	bool restored;
	az_team_claim claims<AZ_MAX_TEAMS>;
};

struct az_peer_state_ack {
	unsigned hyper sent_ns;
	unsigned hyper revision;
	unsigned hyper table_version;
	bool restored;
};

/* The stored configuration document and the owner table travel together. */
struct az_config {
	unsigned hyper revision;
	opaque document<AZ_MAX_CONFIG>;
	az_table table;
};

struct az_job_task {
	unsigned int size;
	az_payload payload;
};

/*
 * attempt numbers the submissions of an id by its caller from 1; 0 if the caller doesn't say. A
 * SUBMIT without tasks asks for the answer and starts nothing.
 */
struct az_submit {
	az_job_id job;
	az_name team;
	az_name service;
	unsigned int deadline_ms;
	az_job_task tasks<AZ_MAX_TASKS>;
	unsigned int attempt;
};

enum az_outcome {
	AZ_OUTCOME_DONE = 0,
	AZ_OUTCOME_FAILED = 1,
	AZ_OUTCOME_NOT_RUN = 2,
	AZ_OUTCOME_UNKNOWN = 3
};

struct az_task_result {
	az_payload payload;
};

struct az_answer {
	az_job_id job;
	az_outcome outcome;
	az_name code;
	az_text message;
	az_task_result results<AZ_MAX_TASKS>;
};

struct az_cancel_job {
	az_job_id job;
};

/*
 * Dispatch by resources: gateways hold jobs, sidecars own the room of their upstream instance.
 * Both sides begin with NODE_HELLO. A connection is a session: what a gateway started through it
 * ends with it.
 */
const AZ_MAX_SPECIFICATION = 8192;
const AZ_MAX_LABELS = 32;
const AZ_MAX_GATEWAYS = 512;
const AZ_MAX_RUN = 4096;

typedef opaque az_specification<AZ_MAX_SPECIFICATION>;

struct az_resources {
	unsigned int cpu_milli;
	unsigned int memory_mb;
	unsigned int accelerators;
};

/* address is where a gateway accepts connections; a sidecar leaves it empty. */
struct az_node_hello {
	unsigned hyper incarnation;
	az_name instance;
	az_name domain;
	az_address address;
};

struct az_node_gateways {
	az_address addresses<AZ_MAX_GATEWAYS>;
};

/* A published configuration as the store holds it, relayed between gateways. */
struct az_node_catalog {
	unsigned hyper revision;
	opaque text<AZ_MAX_CONFIG>;
};

/* Withdrawn failure domains as of a revision of the store that was current age_ms ago. */
struct az_node_withdrawn {
	unsigned hyper revision;
	unsigned int age_ms;
	az_name domains<AZ_MAX_ENTRIES>;
};

/* life numbers the incarnations of the upstream; open tells whether it takes starts. */
struct az_node_upstream {
	unsigned hyper life;
	bool open;
	az_name service;
	az_name labels<AZ_MAX_LABELS>;
	az_resources capacity;
};

struct az_run_task {
	unsigned int index;
	unsigned int attempt;
};

/* name is that of the step; a task's name is name.index. job is the gateway's number of the job.
 * expected_ms is the run time of a task on an upstream of usual speed. clock_ms is the sidecar's own
 * clock when the order was sent, as its last report and the time since then tell; a sidecar refuses
 * an order that was delayed. */
struct az_node_run {
	unsigned hyper clock_ms;
	unsigned hyper job;
	unsigned int step;
	az_name name;
	az_specification specification;
	az_resources need;
	unsigned int expected_ms;
	unsigned int deadline_ms;
	az_run_task tasks<AZ_MAX_RUN>;
};

/* All tasks of the step if indexes is empty. */
struct az_node_stop {
	unsigned hyper job;
	unsigned int step;
	unsigned int indexes<AZ_MAX_RUN>;
};

/* How a task that was sent to a sidecar has ended. */
enum az_task_end {
	AZ_TASK_DONE = 0,
	AZ_TASK_FAILED = 1,
	AZ_TASK_STOPPED = 2,
	AZ_TASK_LOST = 3,
	AZ_TASK_NO_ROOM = 4,
	AZ_TASK_CLOSED = 5,
	AZ_TASK_UNHEALTHY = 6
};

struct az_task_event {
	unsigned hyper job;
	unsigned int step;
	unsigned int index;
	unsigned int attempt;
	az_task_end how;
	unsigned int run_ms;
};

/* projected_ms is the whole run time that the progress so far leads to; all ones for a task that
 * stands still. */
struct az_task_progress {
	unsigned hyper job;
	unsigned int step;
	unsigned int index;
	unsigned int elapsed_ms;
	unsigned int projected_ms;
};

/* received counts the run messages of this connection that free takes into account. The rest
 * speaks of the tasks of all gateways: speed, in percent of the expected one, and the numbers of
 * tasks that were done and that failed in this life of the upstream. clock_ms is the sidecar's
 * steady clock. */
struct az_node_report {
	unsigned hyper clock_ms;
	unsigned int received;
	az_resources free;
	unsigned int speed_percent;
	unsigned int n_done;
	unsigned int n_failed;
	az_task_event events<AZ_MAX_RUN>;
	az_task_progress progress<AZ_MAX_RUN>;
};

/* Renews the session; waiting_cpu_milli is what the gateway has no room for. Without wants_reports
 * it gets reports only every few seconds. A gateway that doesn't reach the store wants updates: a
 * newer configuration than catalog_version, and the withdrawn domains. */
struct az_node_pulse {
	unsigned int waiting_cpu_milli;
	bool wants_reports;
	bool wants_updates;
	unsigned hyper catalog_version;
};

enum az_proc {
	AZ_PROC_NULL = 0,
	AZ_HELLO = 1,
	AZ_WELCOME = 2,
	AZ_HEARTBEAT = 3,
	AZ_HEARTBEAT_ACK = 4,
	AZ_VIEW = 5,
	AZ_TABLE = 6,
	AZ_GRANT = 7,
	AZ_RECALL = 8,
	AZ_RETURN = 9,
	AZ_DEMAND = 10,
	AZ_START = 11,
	AZ_RESULT = 12,
	AZ_REFUSED = 13,
	AZ_CANCEL = 14,
	AZ_QUERY = 15,
	AZ_FATE = 16,
	AZ_RECOVER = 17,
	AZ_RECORDS = 18,
	AZ_PEER_HELLO = 19,
	AZ_PEER_STATE = 20,
	AZ_PEER_STATE_ACK = 21,
	AZ_CONFIG = 22,
	AZ_SUBMIT = 23,
	AZ_ANSWER = 24,
	AZ_CANCEL_JOB = 25,
	AZ_NODE_HELLO = 26,
	AZ_NODE_GATEWAYS = 27,
	AZ_NODE_CATALOG = 28,
	AZ_NODE_WITHDRAWN = 29,
	AZ_NODE_UPSTREAM = 30,
	AZ_NODE_RUN = 31,
	AZ_NODE_STOP = 32,
	AZ_NODE_REPORT = 33,
	AZ_NODE_PULSE = 34
};

union az_message switch (az_proc proc) {
case AZ_PROC_NULL:
	void;
case AZ_HELLO:
	az_hello hello;
case AZ_WELCOME:
	az_welcome welcome;
case AZ_HEARTBEAT:
	az_heartbeat heartbeat;
case AZ_HEARTBEAT_ACK:
	az_heartbeat_ack heartbeat_ack;
case AZ_VIEW:
	az_view view;
case AZ_TABLE:
	az_table table;
case AZ_GRANT:
	az_grants grant;
case AZ_RECALL:
	az_grant_ids recall;
case AZ_RETURN:
	az_grant_ids returned;
case AZ_DEMAND:
	az_demand demand;
case AZ_START:
	az_start start;
case AZ_RESULT:
	az_result result;
case AZ_REFUSED:
	az_refused refused;
case AZ_CANCEL:
	az_cancel cancel;
case AZ_QUERY:
	az_query query;
case AZ_FATE:
	az_fate fate;
case AZ_RECOVER:
	az_recover recover;
case AZ_RECORDS:
	az_records records;
case AZ_PEER_HELLO:
	az_peer_hello peer_hello;
case AZ_PEER_STATE:
	az_peer_state peer_state;
case AZ_PEER_STATE_ACK:
	az_peer_state_ack peer_state_ack;
case AZ_CONFIG:
	az_config config;
case AZ_SUBMIT:
	az_submit submit;
case AZ_ANSWER:
	az_answer answer;
case AZ_CANCEL_JOB:
	az_cancel_job cancel_job;
case AZ_NODE_HELLO:
	az_node_hello node_hello;
case AZ_NODE_GATEWAYS:
	az_node_gateways node_gateways;
case AZ_NODE_CATALOG:
	az_node_catalog node_catalog;
case AZ_NODE_WITHDRAWN:
	az_node_withdrawn node_withdrawn;
case AZ_NODE_UPSTREAM:
	az_node_upstream node_upstream;
case AZ_NODE_RUN:
	az_node_run node_run;
case AZ_NODE_STOP:
	az_node_stop node_stop;
case AZ_NODE_REPORT:
	az_node_report node_report;
case AZ_NODE_PULSE:
	az_node_pulse node_pulse;
};
