# Shared by the scripts of the cases 11 to 15: starts a small deployment on loopback addresses, with three entries, three
# agents and their executors, and sends requests. A script sources it and calls `conclude` last.
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
trouble=${TROUBLE:-1}
work=$(mktemp -d)
pids=()
: >"$record"

cleanup() {
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$work"
}
trap cleanup EXIT

now_ms() {
	date +%s%3N
}

note() {
	echo "$(now_ms) $*" >>"$record"
}

# The case could not run.
give_up() {
	note "could not run: $*"
	exit 2
}

# Sets port to one that is free on the addresses that are used here.
free_port() {
	local ip taken
	while :; do
		port=$((20000 + RANDOM % 12000))
		taken=0
		for ip in 127.0.0.1 127.0.0.2 127.0.0.3 127.0.0.4; do
			if (exec 9<>"/dev/tcp/$ip/$port") 2>/dev/null; then
				taken=1
			fi
		done
		case " ${used_ports:-} " in *" $port "*) taken=1 ;; esac
		if [ $taken = 0 ]; then
			used_ports="${used_ports:-} $port"
			return
		fi
	done
}

# http METHOD ADDRESS PATH BODY [HEADER]: prints the code and the body of the answer, or 000 without one.
http() {
	local ip=${2%:*} at=${2#*:} fd answer
	if ! { exec {fd}<>"/dev/tcp/$ip/$at"; } 2>/dev/null; then
		echo 000
		return
	fi
	printf '%s %s HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s' \
		"$1" "$3" "${5:+$5$'\r\n'}" ${#4} "$4" >&"$fd"
	IFS= read -r -d '' -t 60 -u "$fd" answer
	exec {fd}>&-
	answer=${answer//$'\r'/}
	if [ -z "$answer" ]; then
		echo 000
	else
		echo "$(head -1 <<<"$answer" | cut -d' ' -f2) ${answer#*$'\n\n'}"
	fi
}

# The fields of deploy/settings.json.tmpl, with the bounds of a small deployment.
settings() {
	cat <<-END
		{"mode": "platform", "role": "$1", "name": "$2", "zone": "$3", "listen": $4,
		 "peers": {"ip": "$5", "port": $peer_port, "seeds": ["127.0.0.2:1", "127.0.0.3:1", "127.0.0.4:1"]},
		 "store": {"address": "$store"}, $6
		 "policy": {"local_zone": true},
		 "limits": {"lease_ms": 1000, "stop_ms": 50, "resend_ms": 1300, "grace_s": 6, "config_apply_ms": 2000}}
	END
}

start_daemon() {
	(cd "$root" && exec target/greengaged --settings "$work/$1.json") >"$work/$1.log" 2>&1 &
	pids+=($!)
	daemon_pid=$!
}

publish() {
	[ "$(http POST "$store" "/standin/record?key=$1" "$2" | cut -c1-3)" = 200 ] || give_up "the store does not answer"
}

# await_ready ENTRY: waits until it is ready.
await_ready() {
	for _ in $(seq 100); do
		[ "$(http GET "${ready[$1]}" /greengagefront/readyz "" | cut -c1-3)" = 200 ] && return
		sleep 0.1
	done
	give_up "entry $1 is not ready"
}

start_deployment() {
	local i
	[ -x "$root/target/greengaged" ] || give_up "target/greengaged is not built"
	[ -x "$root/build-review-3/platform" ] || give_up "the stand-in is not built (review/build-3.sh)"
	free_port
	store=127.0.0.1:$port
	free_port
	peer_port=$port
	free_port
	client_port=$port
	free_port
	ready_port=$port
	for i in 0 1 2; do
		free_port
		control[i]=127.0.0.1:$port
		free_port
		executor[i]=127.0.0.1:$port
	done
	"$root/build-review-3/platform" "$store" 2>"$work/store.log" &
	pids+=($!)
	: >"$work/runs.txt"
	for i in 0 1 2; do
		"$root/build-review-3/platform" "${executor[i]}" "${control[i]}" "i-$i" "z$i" >>"$work/runs.txt" \
			2>"$work/executor-$i.log" &
		pids+=($!)
		executor_pid[i]=$!
		entry[i]=127.0.0.$((i + 2)):$client_port
		ready[i]=127.0.0.$((i + 2)):$ready_port
		settings entry "entry-$i" "z$i" "{\"clients\": \"${entry[i]}\", \"readiness\": \"${ready[i]}\"}" \
			"127.0.0.$((i + 2))" "" >"$work/entry-$i.json"
		settings agent "agent-$i" "z$i" "{\"control\": \"${control[i]}\"}" 127.0.0.1 \
			"\"server\": {\"address\": \"${executor[i]}\"}," >"$work/agent-$i.json"
	done
	sleep 0.3
	publish config '{"version": 5, "routes": [{"name": "q", "host": "jobs.example", "pathPrefix": "/q/", "service": "svc", "priority": 0, "maxAttempts": 2, "stretchFactor": 1.6, "targetRuntimeMs": 60, "timeoutMs": 30000}], "services": [{"name": "svc", "admissionCheck": true}], "limits": {}}'
	for i in 0 1 2; do
		start_daemon "entry-$i"
		entry_pid[i]=$daemon_pid
		start_daemon "agent-$i"
		agent_pid[i]=$daemon_pid
	done
	for i in 0 1 2; do
		await_ready "$i"
	done
	# Longer than stableWindowMs: from now on all machines are in touch.
	sleep 3.5
	note "all machines are in touch"
}

# job TASKS MS: the body of a job of TASKS tasks that run for MS.
job() {
	echo "{\"spec\": \"$2\", \"bestEffort\": true, \"phases\": [{\"count\": $1, \"cpu\": 1000, \"memMb\": 64, \"estMs\": $2}]}"
}

# post ENTRY ID BODY DEADLINE_MS: sends a job in the background.
post() {
	local address=${entry[$1]}
	note "client sends POST /q/$2 to entry $1"
	(
		trap - EXIT
		http POST "$address" "/q/$2" "$3" "X-Greengagefront-Deadline-Ms: $4" >"$work/answer-$BASHPID"
		note "POST /q/$2 at entry $1 is answered: $(<"$work/answer-$BASHPID")"
	) &
	post_pid=$!
	pids+=($!)
}

# Breaks the channel of the last POST.
break_channel() {
	note "the channel of the POST breaks"
	kill -KILL "$post_pid"
	wait "$post_pid" 2>/dev/null
}

# cancel ENTRY ID: sets cancel_code and cancelled_ms, the time of the answer.
cancel() {
	note "client sends DELETE /q/$2 to entry $1"
	cancel_code=$(http DELETE "${entry[$1]}" "/q/$2" "")
	cancelled_ms=$(now_ms)
	note "DELETE /q/$2 at entry $1 is answered: $cancel_code"
}

# Prints the tasks at work and their executors.
running() {
	awk '$3 == "start" {at[$4 " at " $2]} $3 == "end" {delete at[$4 " at " $2]} END {for (run in at) print run}' \
		"$work/runs.txt" | sort | paste -sd,
}

# conclude BROKEN TEXT: records the runs and the result, and ends the script.
conclude() {
	echo "runs (time in ms, executor, event, task, attempt):" >>"$record"
	cat "$work/runs.txt" >>"$record"
	note "$2"
	if [ "$1" = 1 ]; then
		note "result: the rule was broken"
	else
		note "result: the rule held"
	fi
	exit "$1"
}
