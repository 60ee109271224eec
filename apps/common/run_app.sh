# Functions for apps/NAME/run: start the system and its upstreams on loopback, send load, and check the request counts.
# The including script sets app, vms, locations (REGION/FAILURE_DOMAIN each) and network (the second byte of the
# addresses in the settings), and calls the functions below.
# shellcheck shell=bash

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
bin=${PLANTAINLATCH_BIN:-$root/build/bin}
# Time limits in seconds for the start and the stop of the system.
start_limit=20
stop_limit=30

declare -A serve_pids=()
declare -a standin_pids=()
failures=0

say() { printf '%s\n' "$*"; }

fail() {
    printf 'FAILED: %s\n' "$*" >&2
    failures=$((failures + 1))
}

# Kills all processes that this run started, by process id, and removes their files unless a check failed.
clean_up() {
    local pid
    for pid in "${standin_pids[@]}" "${serve_pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    if [ "$failures" -eq 0 ]; then
        rm -rf "$folder"
    else
        printf 'logs are kept in %s\n' "$folder" >&2
    fi
}

# Gives the run its own folder and loopback network, so that concurrent runs do not conflict.
prepare() {
    folder=$(mktemp -d "${TMPDIR:-/tmp}/plantainlatch-$app.XXXXXX")
    trap clean_up EXIT
    trap 'failures=1; exit 1' INT TERM
    own_network="127.$((20 + RANDOM % 200)).$((RANDOM % 250))"
    mkdir -p "$folder/settings" "$folder/state"
    (umask 077 && head -c 32 /dev/urandom | base64 > "$folder/shared.key")
    local vm
    for vm in $vms; do
        sed "s/127\.$network\.0\./$own_network./" "$root/apps/$app/settings/$vm.yaml" > "$folder/settings/$vm.yaml"
    done
    cd "$folder" || exit 1
    "$bin/plantainlatch" check settings/*.yaml "$root/apps/$app/declarations/1.yaml" || exit 1
}

caller_address() { printf '%s.%s:7080' "$own_network" "${1#e}"; }

entry_options() {
    local vm
    for vm in $vms; do
        printf -- '--entry %s ' "$(caller_address "$vm")"
    done
}

start_serve() {
    "$bin/plantainlatch" serve --settings "settings/$1.yaml" 2>> "$1.log" &
    serve_pids[$1]=$!
}

# Repeats a command until it succeeds; exits with a failure after start_limit seconds: WHAT COMMAND...
wait_for() {
    local what=$1
    shift
    local end=$((SECONDS + start_limit))
    until "$@" > /dev/null 2> last_error; do
        if [ $SECONDS -ge $end ]; then
            fail "$what: not reached within $start_limit s: $(cat last_error)"
            exit 1
        fi
        sleep 0.2
    done
}

# shellcheck disable=SC2046
operate() { "$bin/plantainlatch" "$1" $(entry_options) --timeout 3s "${@:2}"; }

has_leader() { operate status --json | grep -q '"leader":"e'; }

# Starts COUNT stand-in upstreams of a service in one process, assigned to $locations round-robin:
# NAME COUNT SLOTS CONNECTIONS HOST TIME
start_upstreams() {
    local location_options=()
    local location
    for location in $locations; do
        location_options+=(--place "$location")
    done
    # shellcheck disable=SC2046
    "$bin/upstream_standin" --service "$1" --count "$2" --slots "$3" --connections "$4" \
        --address "$own_network.$5:9001" --service-time "$6" --distribution lognormal --queue 4 \
        "${location_options[@]}" $(entry_options) --drain-time 3s --record "$1.record" 2>> "$1.log" &
    standin_pids+=($!)
}

# Sends load from callers near every failure domain: SERVICE RATE SECONDS MIX GET_PATH POST_PATH
make_load() {
    local near_options=()
    local location
    for location in $locations; do
        near_options+=(--near "${location#*/}")
    done
    # shellcheck disable=SC2046
    "$bin/load_tool" $(entry_options) "${near_options[@]}" --service "$1" --rate "$2" --duration "${3}s" --mix "$4" \
        --get-path "$5" --post-path "$6" --json "$1.json" > "$1.report"
}

serves() { "$bin/load_tool" $(entry_options) --service "$1" --rate 20 --duration 200ms --mix 1,0,0 --tries 1 --require-all; }

number_of() { sed -n "s/^ *\"$2\": \([0-9][0-9]*\),*$/\1/p" "$1.json" | head -1; }

# Checks a service's counts: every request answered and served, no keyed request run twice.
check_counts() {
    local sent answered served again run twice
    sent=$(number_of "$1" sent)
    answered=$(number_of "$1" answered)
    served=$(number_of "$1" served)
    again=$(number_of "$1" resent)
    run=$(wc -l < "$1.record")
    twice=$(grep ' POST ' "$1.record" | cut -d' ' -f3 | sort | uniq -d | wc -l)
    say "$1: sent $sent, answered $answered, served $served, sent again $again, run $run, run twice $twice"
    sed -n 's/^latency */  latency: /p; s/^outcomes */  outcomes: /p' "$1.report"
    [ "${sent:-0}" -gt 0 ] || fail "$1: nothing was sent"
    [ "$answered" = "$sent" ] || fail "$1: not every request was answered"
    [ "$served" = "$sent" ] || fail "$1: not every request was served"
    [ "$twice" = 0 ] || fail "$1: $twice requests ran twice"
}

# Checks that a process that got SIGTERM exits with status 0 within stop_limit seconds: NAME PID
wait_for_stop() {
    local end=$((SECONDS + stop_limit))
    while kill -0 "$2" 2>/dev/null; do
        if [ $SECONDS -ge $end ]; then
            fail "$1 did not stop within $stop_limit s"
            return
        fi
        sleep 0.1
    done
    wait "$2" || fail "$1 exited with status $?"
}

stop_all() {
    local pid vm
    for pid in "${standin_pids[@]}"; do
        kill -TERM "$pid"
    done
    for pid in "${standin_pids[@]}"; do
        wait "$pid" || fail "stand-in $pid exited with status $?"
    done
    standin_pids=()
    for vm in "${!serve_pids[@]}"; do
        kill -TERM "${serve_pids[$vm]}"
    done
    for vm in "${!serve_pids[@]}"; do
        wait_for_stop "$vm" "${serve_pids[$vm]}"
    done
    serve_pids=()
}

finish() {
    if [ "$failures" -gt 0 ]; then
        say "$app: $failures checks failed"
        exit 1
    fi
    say "$app: all checks passed in $SECONDS s"
}
