# Functions of the scripts in review/6 and later: a small deployment of real processes on loopback addresses.
# A script sets `here` to its folder, sources this file and calls start_deployment.

root=$(cd "$here/../.." && pwd)
record=$here/record.txt
entries=3
agents=${AGENTS:-11}
run_ms=${RUN_MS:-1200}
pids=()
declare -A pid_of

quit_unable() { # the case cannot run
	echo "cannot run: $*" >&2
	exit 2
}

end_all() {
	trap - EXIT
	for pid in "${pids[@]}"; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$tmp"
}

now_us() {
	echo "${EPOCHREALTIME/[.,]/}"
}

note() { # writes a line of the client or of the disruption into the record
	echo "$(now_us) $*" >>"$record"
}

spawn() { # NAME COMMAND...
	local name=$1
	shift
	(cd "$root" && exec "$@") >"$tmp/$name.log" 2>&1 &
	pids+=($!)
	pid_of[$name]=$!
}

# Sends a request and prints the status code and the body on one line, or "none" without an answer within LIMIT_S.
http() { # LIMIT_S METHOD ADDRESS PATH HOST BODY [HEADER]
	local limit=$1 method=$2 address=$3 path=$4 host=$5 body=$6 header=${7:-} fd line code=none length=0 text=
	if ! { exec {fd}<>"/dev/tcp/${address%:*}/${address#*:}"; } 2>/dev/null; then
		echo refused
		return
	fi
	printf '%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
		"$method" "$path" "$host" "${header:+$header$'\r\n'}" ${#body} "$body" >&"$fd"
	if IFS= read -r -t "$limit" line <&"$fd"; then
		code=${line#* }
		code=${code%% *}
		while IFS= read -r -t 1 line <&"$fd" && [ "${line%$'\r'}" ]; do
			[[ ${line,,} =~ ^content-length:\ *([0-9]+) ]] && length=${BASH_REMATCH[1]}
		done
		IFS= read -r -t 1 -N "$length" text <&"$fd" || true
	fi
	exec {fd}>&-
	echo "$code $text"
}

free_port() { # prints a port on which nobody listens at any loopback address
	local port used
	used=$(cat /proc/net/tcp | awk '{print $2}')
	while :; do
		port=$((20000 + RANDOM % 12000))
		grep -qi ":$(printf '%04X' $port)" <<<"$used" || break
	done
	echo "$port"
}

entry_ip() { echo "127.0.1.$((10 + $1))"; }
agent_ip() { echo "127.0.2.$((10 + $1))"; }
zone_of() { local zones=(a b c); echo "${zones[$1 % 3]}"; }

limits='"limits": {"lease_ms": 1000, "stop_ms": 50, "resend_ms": 1300, "grace_s": 6, "config_apply_ms": 2000}'

settings_of_entry() { # N [STORE_ADDRESS]
	local ip
	ip=$(entry_ip "$1")
	cat <<-END
	{"mode": "platform", "role": "entry", "name": "edge-$1", "zone": "$(zone_of "$1")",
	 "listen": {"clients": "$ip:$client_port", "readiness": "$ip:$ready_port"},
	 "peers": {"ip": "$ip", "port": $peer_port, "seeds": ["$(entry_ip 0):1", "$(entry_ip 1):1", "$(entry_ip 2):1"]},
	 "store": {"address": "${2:-$store}"}, $limits}
	END
}

settings_of_agent() { # N
	local ip
	ip=$(agent_ip "$1")
	cat <<-END
	{"mode": "platform", "role": "agent", "name": "side-$1", "zone": "$(zone_of "$1")",
	 "listen": {"control": "$ip:$control_port"},
	 "peers": {"ip": "$ip", "port": $peer_port, "seeds": ["$(entry_ip 0):1", "$(entry_ip 1):1", "$(entry_ip 2):1"]},
	 "store": {"address": "$store"}, "server": {"address": "$ip:$server_port"}, $limits}
	END
}

config_document() { # VERSION
	printf '{"version":%d,"routes":[{"name":"r-1","host":"nony24.example","pathPrefix":"/lohu930/","kind":"non_idempotent","timeoutMs":1500,"targetRuntimeMs":60,"priority":2,"service":"svc","maxAttempts":2,"stretchFactor":1.6}],"services":[{"name":"svc","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"admissionCheck":true,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}' "$1"
}

wait_for() { # LIMIT_S COMMAND...
	local until=$((SECONDS + $1))
	shift
	until "$@"; do
		[ "$SECONDS" -lt "$until" ] || return 1
		sleep 0.05
	done
}

store_answers() { [[ $(http 1 GET "$store" /control x "") == 200* ]]; }
entry_ready() { [[ $(http 1 GET "$(entry_ip "$1"):$ready_port" /greengagefront/readyz x "") == 200* ]]; }

start_server() { # N
	spawn "server-$1" "$root/target/review-2/backend_server" "$(agent_ip "$1"):$server_port" \
		"$(agent_ip "$1"):$control_port" "i-$1" "$run_ms" "$record"
}

start_agent() { spawn "agent-$1" target/greengaged --settings "$tmp/agent-$1.json"; }
start_entry() { spawn "entry-$1" target/greengaged --settings "$tmp/entry-$1.json"; }

start_deployment() {
	[ -x "$root/target/greengaged" ] && [ -x "$root/target/review-2/backend_server" ] || quit_unable "not built"
	tmp=$(mktemp -d)
	trap end_all EXIT
	: >"$record"
	client_port=$(free_port) ready_port=$(free_port) peer_port=$(free_port)
	control_port=$(free_port) server_port=$(free_port) store=127.0.3.10:$(free_port)
	spawn store "$root/target/review-2/platform" "$store"
	wait_for 10 store_answers || quit_unable "the store does not answer"
	http 2 POST "$store" /control/config x "$(config_document 7)" >/dev/null
	for ((n = 0; n < agents; n++)); do
		settings_of_agent "$n" >"$tmp/agent-$n.json"
		start_server "$n"
		start_agent "$n"
	done
	for ((n = 0; n < entries; n++)); do
		settings_of_entry "$n" >"$tmp/entry-$n.json"
		start_entry "$n"
	done
	for ((n = 0; n < entries; n++)); do
		wait_for 20 entry_ready "$n" || quit_unable "entry $n is not ready"
	done
	sleep "${SETTLE_S:-4}"
}

job_body() { # TASKS ESTIMATE_MS [CPU]
	printf '{"spec":"hold","bestEffort":true,"phases":[{"count":%d,"cpu":%d,"memMb":64,"estMs":%d}]}' "$1" "${3:-3100}" "$2"
}

# Submits job ID to entry N as a client that waits for 1,500 ms, and notes the answer.
submit() { # N ID TASKS ESTIMATE_MS
	local answer
	note "client sends $2 to edge-$1"
	answer=$(http 1.5 POST "$(entry_ip "$1"):$client_port" "/lohu930/$2" nony24.example "$(job_body "$3" "$4")" \
		"X-Greengagefront-Deadline-Ms: 1500")
	note "client gets $2 from edge-$1: $answer"
}

# Prints the pairs of runs of one task that were at work at the same time, on servers whose machines were not
# suspended at that moment, and how long both were (ms).
overlaps() {
	sort -n "$record" | awk '
	function close_span(key, at,   n) {
		if (!(key in open_at))
			return
		n = ++count[task_of[key]]
		from[task_of[key], n] = open_at[key]
		to[task_of[key], n] = at
		where[task_of[key], n] = server_of[key]
		delete open_at[key]
	}
	$3 == "start" { key = $2 SUBSEP $4; open_at[key] = $1; task_of[key] = $4; server_of[key] = $2; alive[key] = 1 }
	$3 ~ /^(done|stopped|lapsed)$/ { key = $2 SUBSEP $4; close_span(key, $1); delete alive[key] }
	$3 == "suspended" { for (key in alive) if (server_of[key] == $2) close_span(key, $1) }
	$3 == "resumed" { for (key in alive) if (server_of[key] == $2) open_at[key] = $1 }
	$3 == "killed" { for (key in alive) if (server_of[key] == $2) { close_span(key, $1); delete alive[key] } }
	{ last = $1 }
	END {
		for (key in open_at)
			close_span(key, last)
		for (task in count)
			for (i = 1; i <= count[task]; i++)
				for (j = i + 1; j <= count[task]; j++) {
					low = from[task, i] > from[task, j] ? from[task, i] : from[task, j]
					high = to[task, i] < to[task, j] ? to[task, i] : to[task, j]
					if (where[task, i] != where[task, j] && high - low > 0)
						printf "%s at %s and %s for %.1f ms\n", task, where[task, i], \
							where[task, j], (high - low) / 1000
				}
	}'
}
