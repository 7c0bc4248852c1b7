/*
 * Messages between the processes of azurerock. Each message is a one-way ONC RPC call without a
 * reply; the sender's identity is in the body. The constants bound every length.
 *
 * Entries accept jobs, agents run their tasks on an upstream instance. A task may start only with
 * a grant, which reserves a slot of an agent for an entry. An incarnation is a random number that
 * a process chooses when it starts. Revisions number the published configurations, table versions
 * the owner tables. Durations such as remaining_ms and age_ms count from the time of sending,
 * because the clocks of machines differ.
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

/* Identifies one attempt to run one task. task is the index of the task in its job. */
struct az_attempt {
	az_job_id job;
	unsigned int task;
	unsigned int attempt;
};

/*
 * Agent to entry, first message of a connection: the agent, its upstream and its failure domain,
 * and the revision and table version that it has.
 */
struct az_hello {
	unsigned hyper incarnation;
	az_name instance;
	az_name upstream;
	az_name domain;
	unsigned int slots;
	unsigned hyper revision;
	unsigned hyper table_version;
};

/* Entry to agent, answer to HELLO. */
struct az_welcome {
	unsigned hyper incarnation;
	az_name instance;
};

/*
 * Agent to entry. sent_ns is the agent's monotonic clock, which the acknowledgement returns.
 * running is the number of running tasks. stopping means that the agent accepts no more tasks.
 */
struct az_heartbeat {
	unsigned hyper sent_ns;
	unsigned hyper revision;
	unsigned hyper table_version;
	unsigned int running;
	bool stopping;
};

/*
 * Entry to agent. Up to evidence_age_ms ago, the entry had evidence that its revision and table
 * version are the newest; an agent whose own evidence gets too old starts no tasks.
 * result_sequence is the highest sequence of a result that the entry has received from the agent.
 */
struct az_heartbeat_ack {
	unsigned hyper sent_ns;
	unsigned int evidence_age_ms;
	unsigned hyper revision;
	unsigned hyper table_version;
	unsigned hyper result_sequence;
};

/*
 * Entry to agent: the part of the configuration that the agent needs. in_service is false while
 * its failure domain or upstream is withdrawn. slots, connections and task_timeout_ms are those
 * of the upstream.
 */
struct az_view {
	unsigned hyper revision;
	bool in_service;
	unsigned int slots;
	unsigned int connections;
	unsigned int task_timeout_ms;
};

/* A member of the roster. joined is the first table version that lists it. */
struct az_roster_entry {
	unsigned hyper incarnation;
	az_name instance;
	az_name domain;
	az_address rpc_address;
	az_address http_address;
	unsigned hyper joined;
};

/*
 * A job id contains the time of its creation. Ids created at or after from_ms (Unix time) belong
 * to the entry with the incarnation owner, older ones to previous; 0 means no entry.
 */
struct az_partition {
	unsigned hyper owner;
	unsigned hyper from_ms;
	unsigned hyper previous;
};

/* Entry to agent: the owner table. The hash of a job id selects its partition. */
struct az_table {
	unsigned hyper table_version;
	az_roster_entry roster<AZ_MAX_ENTRIES>;
	az_partition partitions<AZ_PARTITIONS>;
};

/* Permission to start one task until it expires. The agent chooses the id. */
struct az_grant {
	unsigned hyper id;
	unsigned int remaining_ms;
};

/* Agent to entry (GRANT). */
struct az_grants {
	az_grant grants<AZ_MAX_GRANTS>;
};

/*
 * RECALL, agent to entry: the entry should return these grants if it has not used them.
 * RETURN, entry to agent: the entry gives these grants back.
 */
struct az_grant_ids {
	unsigned hyper ids<AZ_MAX_GRANTS>;
};

/* Entry to agent: number of tasks that wait for a grant, and the age of the oldest of their jobs. */
struct az_demand {
	unsigned int waiting;
	unsigned int oldest_ms;
};

/*
 * job_tasks is the number of tasks of the job. grant is the id of the grant that is used.
 * remaining_ms is the time until the job's deadline. timeout_ms limits the run time.
 */
struct az_start_task {
	az_attempt id;
	unsigned int job_tasks;
	unsigned hyper grant;
	unsigned int remaining_ms;
	unsigned int timeout_ms;
	az_payload payload;
};

/* Entry to agent: starts tasks of one team and service. */
struct az_start {
	az_name team;
	az_name service;
	az_start_task tasks<AZ_MAX_GRANTS>;
	az_demand demand;
};

/* State of an attempt. UNKNOWN means that it may or may not have run. */
enum az_status {
	AZ_STATUS_OK = 0,
	AZ_STATUS_FAILED = 1,
	AZ_STATUS_UNKNOWN = 2,
	AZ_STATUS_NOT_STARTED = 3,
	AZ_STATUS_RUNNING = 4
};

/* sequence numbers the results of an agent, for the entry's acknowledgement in HEARTBEAT_ACK. */
struct az_result_task {
	unsigned hyper sequence;
	az_attempt id;
	az_status status;
	unsigned int run_us;
	az_payload payload;
};

/* Agent to entry: ended attempts, and new grants. */
struct az_result {
	az_result_task results<AZ_MAX_GRANTS>;
	az_grant grants<AZ_MAX_GRANTS>;
};

/*
 * Reasons why an agent refuses to start a task:
 * GRANT: the entry holds no valid grant with this id.
 * OWNER: the entry doesn't own the job id in the agent's owner table.
 * EVIDENCE: the agent's evidence that its configuration is the newest is too old.
 * WITHDRAWN: the agent is out of service.
 * DEADLINE: the deadline may have passed while the message waited.
 * DUPLICATE: the agent has a record of the task.
 * FENCED: the agent has promised in a FATE not to start this attempt.
 * STOPPING: the agent is stopping.
 * UPSTREAM: the upstream was not reached, so the task did not start.
 */
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

/* Agent to entry: these attempts have not started and will not. */
struct az_refused {
	az_refused_task tasks<AZ_MAX_GRANTS>;
};

/* Entry to agent: cancels the tasks of the job that run on the agent. */
struct az_cancel {
	az_job_id job;
};

/* Entry to agent: asks for the state of attempts, after the agent has connected again. */
struct az_query {
	az_attempt attempts<AZ_MAX_TASKS>;
};

/* NOT_STARTED is a promise: the agent refuses this attempt from now on. */
struct az_fate_task {
	az_attempt id;
	az_status status;
	az_payload payload;
};

/* Agent to entry, answer to QUERY. */
struct az_fate {
	az_fate_task tasks<AZ_MAX_TASKS>;
};

/*
 * Entry to agent: a new owner asks for the records of the partitions whose bits are set; bit p
 * selects partition p.
 */
struct az_recover {
	unsigned hyper partitions;
};

/* A task that has started on the agent, as the agent remembers it. */
struct az_record {
	az_attempt id;
	unsigned int job_tasks;
	az_status status;
	az_payload payload;
};

/*
 * Agent to entry, answer to RECOVER in one or several messages; complete is true in the last one.
 */
struct az_records {
	unsigned hyper partitions;
	bool complete;
	az_record records<AZ_MAX_TASKS>;
};

/* Between entries, first message of a connection. */
struct az_peer_hello {
	unsigned hyper incarnation;
	az_name instance;
};

/*
 * The part of a team's quota that the entry claims, and the numbers of its running and waiting
 * tasks of the team.
 */
struct az_team_claim {
	az_name team;
	unsigned int claim;
	unsigned int running;
	unsigned int waiting;
};

/*
 * Between entries, sent periodically. sent_ns is the sender's monotonic clock, which the
 * acknowledgement returns. restored is true once the sender's state may count towards a majority.
 */
struct az_peer_state {
	unsigned hyper sent_ns;
	unsigned hyper revision;
	unsigned hyper table_version;
	bool restored;
	az_team_claim claims<AZ_MAX_TEAMS>;
};

/*
 * Between entries, answer to PEER_STATE; the fields but sent_ns are those of the answering entry.
 */
struct az_peer_state_ack {
	unsigned hyper sent_ns;
	unsigned hyper revision;
	unsigned hyper table_version;
	bool restored;
};

/*
 * Between entries, to one with an older state. The configuration and the owner table are sent
 * together, so that an entry with a newer roster also has every revision accepted under the older
 * one.
 */
struct az_config {
	unsigned hyper revision;
	opaque document<AZ_MAX_CONFIG>;
	az_table table;
};

/* size is stated by the caller; dispatch does not use it. */
struct az_job_task {
	unsigned int size;
	az_payload payload;
};

/*
 * Between entries: forwards a job to the owner of its id. deadline_ms is the time until the
 * deadline. attempt counts the submissions of the id by the caller from 1; 0 means that the
 * caller did not state it. A SUBMIT without tasks requests the answer and starts nothing.
 */
struct az_submit {
	az_job_id job;
	az_name team;
	az_name service;
	unsigned int deadline_ms;
	az_job_task tasks<AZ_MAX_TASKS>;
	unsigned int attempt;
};

/* Outcome of a job. UNKNOWN means that tasks may or may not have run. */
enum az_outcome {
	AZ_OUTCOME_DONE = 0,
	AZ_OUTCOME_FAILED = 1,
	AZ_OUTCOME_NOT_RUN = 2,
	AZ_OUTCOME_UNKNOWN = 3
};

struct az_task_result {
	az_payload payload;
};

/*
 * Between entries, answer to SUBMIT: outcome, code and message as the caller gets them, and the
 * result of each task.
 */
struct az_answer {
	az_job_id job;
	az_outcome outcome;
	az_name code;
	az_text message;
	az_task_result results<AZ_MAX_TASKS>;
};

/* Between entries: the caller has cancelled the job. */
struct az_cancel_job {
	az_job_id job;
};

/*
 * Dispatch by resources: gateways queue jobs, and each sidecar allocates the capacity of one
 * upstream instance. Both sides of a connection begin with NODE_HELLO. A connection is a session:
 * when it closes, the sidecar stops the tasks that the gateway started through it.
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

/* address is where a gateway accepts connections; it is empty from a sidecar. */
struct az_node_hello {
	unsigned hyper incarnation;
	az_name instance;
	az_name domain;
	az_address address;
};

/* From a gateway: addresses of gateways that the receiver should connect to. */
struct az_node_gateways {
	az_address addresses<AZ_MAX_GATEWAYS>;
};

/* Between gateways: the published configuration, with its revision in the store. */
struct az_node_catalog {
	unsigned hyper revision;
	opaque text<AZ_MAX_CONFIG>;
};

/*
 * From a gateway: the withdrawn failure domains at a revision of the store that was current
 * age_ms ago.
 */
struct az_node_withdrawn {
	unsigned hyper revision;
	unsigned int age_ms;
	az_name domains<AZ_MAX_ENTRIES>;
};

/*
 * Sidecar to gateway: the upstream instance. life counts its incarnations; open means that it
 * accepts tasks. service is empty until the incarnation has announced itself: it may belong to any
 * service and have any labels.
 */
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

/*
 * Gateway to sidecar: runs tasks of one step. clock_ms is the sidecar's clock at the time of
 * sending, which the gateway estimates from the last report; the sidecar refuses a message that
 * was delayed for long. job is the number of the job at the gateway. queue and job_id name the job
 * to all gateways. name is that of the step, to which the sidecar appends "." and the index of the
 * task. need is what each task takes.
 * expected_ms is the run time of a task on an upstream of normal speed. deadline_ms is the time
 * until the job's deadline.
 */
struct az_node_run {
	unsigned hyper clock_ms;
	unsigned hyper job;
	az_name queue;
	az_job_id job_id;
	unsigned int step;
	az_name name;
	az_specification specification;
	az_resources need;
	unsigned int expected_ms;
	unsigned int deadline_ms;
	az_run_task tasks<AZ_MAX_RUN>;
};

/* Gateway to sidecar: stops the tasks with these indexes, or the whole step if there are none. */
struct az_node_stop {
	unsigned hyper job;
	unsigned int step;
	unsigned int indexes<AZ_MAX_RUN>;
};

/*
 * How a task ended that was sent to a sidecar:
 * LOST: its end was not observed.
 * NO_ROOM: the upstream has not enough free resources.
 * CLOSED: the sidecar starts no such task at present, or the upstream did not take the request.
 * UNHEALTHY: the upstream refused the request.
 * CRASHED: the upstream crashed after it had acknowledged the start of the task.
 * A task that ended with NO_ROOM, CLOSED or UNHEALTHY has not run.
 */
enum az_task_end {
	AZ_TASK_DONE = 0,
	AZ_TASK_FAILED = 1,
	AZ_TASK_STOPPED = 2,
	AZ_TASK_LOST = 3,
	AZ_TASK_NO_ROOM = 4,
	AZ_TASK_CLOSED = 5,
	AZ_TASK_UNHEALTHY = 6,
	AZ_TASK_CRASHED = 7
};

/* attempt is the one that ran; it may be higher than the one in NODE_RUN. */
struct az_task_event {
	unsigned hyper job;
	unsigned int step;
	unsigned int index;
	unsigned int attempt;
	az_task_end how;
	unsigned int run_ms;
};

/*
 * projected_ms is the total run time extrapolated from the progress, or 2^32 - 1 if the task
 * makes no progress.
 */
struct az_task_progress {
	unsigned hyper job;
	unsigned int step;
	unsigned int index;
	unsigned int elapsed_ms;
	unsigned int projected_ms;
};

/*
 * Sidecar to gateway. clock_ms is the sidecar's monotonic clock. free is the capacity that is
 * left after the first received NODE_RUN messages of this connection. speed_percent relates to
 * the expected speed. n_failed includes tasks that were lost or refused as unhealthy. These three
 * fields cover the tasks of all gateways, and the numbers restart with each life of the upstream.
 * events and progress are those of the gateway's own tasks.
 */
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

/*
 * From a gateway: keeps the session open. clock_ms is the sidecar's clock at the time of sending, as
 * in NODE_RUN, or 0 before the first report: the session is kept open from that time on, however
 * late the message arrives. waiting_cpu_milli is the demand of its queued tasks.
 * Without wants_reports, a sidecar that runs no task of the gateway reports only every few
 * seconds. A gateway that can't reach the store sets wants_updates to get a configuration newer than
 * catalog_version, the withdrawn domains and the age of both: from another gateway what that knows,
 * from a sidecar what it then reads from the store.
 */
struct az_node_pulse {
	unsigned hyper clock_ms;
	unsigned int waiting_cpu_milli;
	bool wants_reports;
	bool wants_updates;
	unsigned hyper catalog_version;
};

/*
 * Sidecar to all gateways: its upstream has crashed. The fields name the task that had started last;
 * queue and job_id are empty if no task was running, and job_id also if the start of the task wasn't
 * acknowledged, since it may not have started then.
 */
struct az_node_crash {
	az_name queue;
	az_job_id job_id;
	unsigned int step;
	unsigned int index;
};

/*
 * Between gateways: the caller of the job has cancelled it at the sender, which doesn't hold it. The
 * receiver stops it if it does, refuses submissions of it for some seconds, and answers with
 * NODE_CANCELLED and the same number.
 */
struct az_node_cancel {
	unsigned hyper number;
	az_job_id job_id;
};

/* was_held tells whether the sender held the job. */
struct az_node_cancelled {
	unsigned hyper number;
	bool was_held;
};

/* Answer to wants_updates: catalog_version was the newest configuration age_ms ago. */
struct az_node_evidence {
	unsigned hyper catalog_version;
	unsigned int age_ms;
};

const AZ_MAX_KINDS = 8;

/*
 * Evidence that tasks of the kind with index slowed take longer or shorter beside tasks of the kind
 * with index beside. effect_milli is the mean difference of the natural logarithms of their run
 * times, in thousandths, with and without such tasks beside them. weight_milli is the number of
 * observations that this mean is worth, in thousandths.
 */
struct az_interference_row {
	unsigned int slowed;
	unsigned int beside;
	unsigned int weight_milli;
	int effect_milli;
};

/*
 * Sidecar to gateway: evidence of interference between the kinds of tasks that ran on this
 * incarnation of the upstream. It replaces that of the former message.
 */
struct az_node_interference {
	unsigned hyper life;
	az_name kinds<AZ_MAX_KINDS>;
	az_interference_row rows<64>;
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
	AZ_NODE_PULSE = 34,
	AZ_NODE_CRASH = 35,
	AZ_NODE_CANCEL = 36,
	AZ_NODE_CANCELLED = 37,
	AZ_NODE_INTERFERENCE = 38,
	AZ_NODE_EVIDENCE = 39
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
case AZ_NODE_CRASH:
	az_node_crash node_crash;
case AZ_NODE_CANCEL:
	az_node_cancel node_cancel;
case AZ_NODE_CANCELLED:
	az_node_cancelled node_cancelled;
case AZ_NODE_INTERFERENCE:
	az_node_interference node_interference;
case AZ_NODE_EVIDENCE:
	az_node_evidence node_evidence;
};
