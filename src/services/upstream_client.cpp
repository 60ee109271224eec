#include "services/upstream_client.h"

#include <optional>
#include <utility>
#include <variant>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "codec/http_fields.h"
#include "codec/load_report_json.h"
#include "core/internal_assert.h"
#include "ports/port_names.h"
#include "services/body_output.h"
#include "services/http_answer_check.h"

namespace plantainlatch {

namespace {

    /** Polls share the table of exchanges with calls; this bit distinguishes their keys. */
    constexpr std::uint64_t pollBit = std::uint64_t(1) << 63U;
    /** Polls have a separate limit, so that they are not refused when calls have reached the upstream's connection
     * limit; they need only a few connections. */
    constexpr std::uint32_t pollConnectionLimit = 1U << 16U;
    constexpr int statusContinue = 100;
    constexpr int firstSkippedStatus = 102;
    constexpr int statusOk = 200;

    /** Lets evhttp read on after an informational answer. It does so only after 100 (Continue), and takes any other one
     * for the final answer. 101 is not skipped, as no request asks for another protocol. */
    int skipInformationalAnswer(evhttp_request* answer, void*)
    {
        const int status = evhttp_request_get_response_code(answer);
        const bool isSkipped = status == statusContinue || (status >= firstSkippedStatus && status < statusOk);
        if (!isSkipped)
            return 0;
        evhttp_clear_headers(evhttp_request_get_input_headers(answer));
        answer->response_code = statusContinue;
        return 0;
    }

    std::optional<evhttp_cmd_type> methodOf(const std::string& name)
    {
        static const absl::flat_hash_map<std::string, evhttp_cmd_type> methods {
            { "GET", EVHTTP_REQ_GET },
            { "POST", EVHTTP_REQ_POST },
            { "HEAD", EVHTTP_REQ_HEAD },
            { "PUT", EVHTTP_REQ_PUT },
            { "DELETE", EVHTTP_REQ_DELETE },
            { "OPTIONS", EVHTTP_REQ_OPTIONS },
            { "PATCH", EVHTTP_REQ_PATCH },
        };
        const auto found = methods.find(name);
        return found != methods.end() ? std::optional(found->second) : std::nullopt;
    }

    call_failure toCallFailure(evhttp_request_error error)
    {
        switch (error) {
        case EVREQ_HTTP_INVALID_HEADER:
        case EVREQ_HTTP_DATA_TOO_LONG:
            return call_failure::Malformed;
        case EVREQ_HTTP_TIMEOUT:
            return call_failure::Timeout;
        default:
            return call_failure::Lost;
        }
    }

} // namespace

struct upstream_client::implementation {
    struct exchange {
        upstream_call call;
        call_events events;
        upstream_connection* connection = nullptr;
        timer_id timer;
        time_point deadline {};
        /** The call fails if it is not dispatched by then. */
        time_point dispatchDeadline {};
        std::string name;
        call_failure failure = call_failure::Lost;
    };

    implementation(event_base* base, const kernel_hooks& kernelHooks, upstream_client_options clientOptions)
        : hooks(kernelHooks)
        , options(clientOptions)
        , namePrefix(absl::StrCat(kernelHooks.random(), "-"))
        , budget(hooks, options.budget)
        , connections(base, hooks, *budget, clientOptions.connections,
              { [this](upstream_connection& connection) { beginDispatch(connection.exchange); },
                  [this](upstream_connection& connection) { rejectInput(connection.exchange); } })
    {
    }

    void start(std::uint64_t key, upstream_call call, call_events events);
    duration dispatchTimeoutOf(const upstream_call& call) const;
    evhttp_request* makeRequest(const exchange& item);
    void beginDispatch(std::uint64_t key);
    /** Fails the call as malformed, as what has arrived for it can't become an answer. */
    void rejectInput(std::uint64_t key);
    void requestDone(upstream_connection& connection, evhttp_request* request);
    void requestFailed(upstream_connection& connection, evhttp_request_error error);
    void timedOut(std::uint64_t key);
    void fail(std::uint64_t key, call_failure failure);
    void refuse(call_events events, call_failure failure);
    exchange remove(std::uint64_t key);
    void cancel(std::uint64_t key);

    void poll(const network_address& address, duration timeout, std::function<void(absl::StatusOr<load_report>)> done);
    void pollPath(const network_address& address, const char* path, duration timeout,
        std::function<void(absl::StatusOr<upstream_answer>)> done);

    kernel_hooks hooks;
    upstream_client_options options;
    std::string namePrefix;
    given_or_own_budget budget;
    upstream_connections connections;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<exchange>> exchanges;
    std::uint64_t lastPoll = 0;
};

void upstream_client::implementation::start(std::uint64_t key, upstream_call call, call_events events)
{
    internal_assert(!exchanges.contains(key)) << "call " << key << " is started twice";
    const std::optional<evhttp_cmd_type> method = methodOf(call.method);
    upstream_connection* connection
        = method.has_value() ? connections.acquire(call.address, call.connectionLimit, call.freshConnection) : nullptr;
    if (connection == nullptr) {
        refuse(std::move(events), call_failure::ConnectionLimit);
        return;
    }
    auto added = std::make_unique<exchange>();
    exchange& item = *added;
    item.deadline = hooks.now() + call.timeout;
    item.call = std::move(call);
    item.events = std::move(events);
    item.connection = connection;
    item.name = options.dialect.nameOf(item.call, absl::StrCat(namePrefix, key));
    connections.beginExchange(*connection, key, item.call.method == "HEAD");
    exchanges.emplace(key, std::move(added));
    const duration dispatchTimeout = dispatchTimeoutOf(item.call);
    item.dispatchDeadline = hooks.now() + dispatchTimeout;
    item.timer = hooks.schedule(dispatchTimeout, [this, key] { timedOut(key); });
    // evhttp_make_request may end the exchange, so `item` must not be used after it.
    const std::string target = item.call.target;
    evhttp_request* request = makeRequest(item);
    if (evhttp_make_request(connection->handle, request, *method, target.c_str()) != 0)
        hooks.schedule(duration::zero(), [this, key] { fail(key, call_failure::Lost); });
}

duration upstream_client::implementation::dispatchTimeoutOf(const upstream_call& call) const
{
    const duration limit = std::min(call.timeout, options.connectTimeout);
    return call.dispatchTimeout > duration::zero() ? std::min(limit, call.dispatchTimeout) : limit;
}

evhttp_request* upstream_client::implementation::makeRequest(const exchange& item)
{
    evhttp_request* request = evhttp_request_new(
        [](evhttp_request* done, void* argument) {
            auto& connection = *static_cast<upstream_connection*>(argument);
            auto* self = static_cast<implementation*>(connection.owner->user());
            self->requestDone(connection, done);
        },
        item.connection);
    internal_assert(request != nullptr) << "no memory for a request";
    evhttp_request_set_error_cb(request, [](evhttp_request_error error, void* argument) {
        auto& connection = *static_cast<upstream_connection*>(argument);
        auto* self = static_cast<implementation*>(connection.owner->user());
        self->requestFailed(connection, error);
    });
    evhttp_request_set_header_cb(request, skipInformationalAnswer);
    evhttp_request_set_chunked_cb(request, [](evhttp_request* answer, void* argument) {
        auto& connection = *static_cast<upstream_connection*>(argument);
        connection.answer->takeBody(evhttp_request_get_input_buffer(answer));
    });
    evkeyvalq* output = evhttp_request_get_output_headers(request);
    std::vector<header_field> own = options.dialect.fieldsOf(item.call);
    own.push_back({ options.dialect.nameField, item.name });
    for (const header_field& field : item.call.headers) {
        if (!http_fields::isHopByHop(field.name) && http_fields::find(own, field.name) == nullptr)
            evhttp_add_header(output, field.name.c_str(), field.value.c_str());
    }
    if (http_fields::find(item.call.headers, "Host") == nullptr)
        evhttp_add_header(output, "Host", formatAddress(item.call.address).c_str());
    for (const header_field& field : own)
        evhttp_add_header(output, field.name.c_str(), field.value.c_str());
    if (!item.call.body.empty()) {
        evhttp_add_header(output, http_fields::contentLength, absl::StrCat(item.call.body.size()).c_str());
        addBody(evhttp_request_get_output_buffer(request), item.call.body);
    }
    return request;
}

void upstream_client::implementation::beginDispatch(std::uint64_t key)
{
    const auto found = exchanges.find(key);
    internal_assert(found != exchanges.end()) << "call " << key << " is dispatched after its end";
    exchange& item = *found->second;
    const time_point now = hooks.now();
    hooks.cancel(item.timer);
    if (now > item.dispatchDeadline) {
        // The dispatch timeout has passed and no byte was sent yet: the buffered bytes are discarded with the socket.
        connections.abortDispatch(*item.connection);
        item.timer = hooks.schedule(duration::zero(), [this, key] { timedOut(key); });
        return;
    }
    item.timer = hooks.schedule(item.deadline - now, [this, key] { timedOut(key); });
    const std::function<void()> onDispatch = std::move(item.events.onDispatch);
    if (onDispatch)
        onDispatch();
}

void upstream_client::implementation::rejectInput(std::uint64_t key)
{
    hooks.schedule(duration::zero(), [this, key] { fail(key, call_failure::Malformed); });
}

void upstream_client::implementation::requestFailed(upstream_connection& connection, evhttp_request_error error)
{
    const auto found = exchanges.find(connection.exchange);
    if (!connection.closed && found != exchanges.end())
        found->second->failure = toCallFailure(error);
}

void upstream_client::implementation::requestDone(upstream_connection& connection, evhttp_request* request)
{
    const std::uint64_t key = connection.exchange;
    const auto found = exchanges.find(key);
    if (connection.closed || found == exchanges.end())
        return;
    exchange& item = *found->second;
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        fail(key, item.failure);
        return;
    }
    const upstream_dialect& dialect = options.dialect;
    const bool requiresName = dialect.upstreamsEchoName && connection.isReused;
    http_answer_validator& validator = connection.answer->validator();
    validator.endOfStream();
    std::variant<upstream_answer, call_failure> result = takeCompleteAnswer(request,
        std::move(connection.answer->body()), validator,
        { item.call.method == "HEAD", dialect.nameField, item.name, requiresName, dialect.allowsCloseDelimitedBody });
    if (const auto* failure = std::get_if<call_failure>(&result)) {
        fail(key, *failure);
        return;
    }
    upstream_answer& answer = std::get<upstream_answer>(result);
    answer.metadata = dialect.metadataOf(item.call, answer);
    const exchange ended = remove(key);
    connections.release(connection);
    ended.events.onAnswer(std::move(answer));
}

void upstream_client::implementation::timedOut(std::uint64_t key)
{
    const auto found = exchanges.find(key);
    internal_assert(found != exchanges.end()) << "call " << key << " times out after its end";
    found->second->timer = timer_id();
    fail(key, call_failure::Timeout);
}

void upstream_client::implementation::fail(std::uint64_t key, call_failure failure)
{
    const auto found = exchanges.find(key);
    if (found == exchanges.end())
        return;
    upstream_connection& connection = *found->second->connection;
    const bool dispatched = connection.dispatched;
    const exchange ended = remove(key);
    connections.discard(connection);
    ended.events.onFailure(dispatched ? failure : call_failure::ConnectFailed);
}

void upstream_client::implementation::refuse(call_events events, call_failure failure)
{
    hooks.schedule(duration::zero(), [onFailure = std::move(events.onFailure), failure] { onFailure(failure); });
}

upstream_client::implementation::exchange upstream_client::implementation::remove(std::uint64_t key)
{
    const auto found = exchanges.find(key);
    internal_assert(found != exchanges.end()) << "call " << key << " ends twice";
    exchange ended = std::move(*found->second);
    exchanges.erase(found);
    hooks.cancel(ended.timer);
    return ended;
}

void upstream_client::implementation::cancel(std::uint64_t key)
{
    if (!exchanges.contains(key))
        return;
    const exchange ended = remove(key);
    connections.discard(*ended.connection);
}

void upstream_client::implementation::poll(
    const network_address& address, duration timeout, std::function<void(absl::StatusOr<load_report>)> done)
{
    const time_point deadline = hooks.now() + timeout;
    auto onLoad = [done](bool healthy, const absl::StatusOr<upstream_answer>& answer) {
        if (!answer.ok()) {
            done(answer.status());
            return;
        }
        absl::StatusOr<load_report> report = parseLoadReport(answer->body);
        if (!report.ok() || answer->status != statusOk) {
            done(absl::UnavailableError("the upstream did not answer with a valid load report"));
            return;
        }
        report->healthy = healthy;
        done(report);
    };
    pollPath(address, "/health", timeout, [this, address, deadline, onLoad](absl::StatusOr<upstream_answer> answer) {
        if (!answer.ok()) {
            onLoad(false, answer);
            return;
        }
        const bool healthy = answer->status == statusOk;
        pollPath(address, "/load", deadline - hooks.now(),
            [onLoad, healthy](absl::StatusOr<upstream_answer> load) { onLoad(healthy, load); });
    });
}

void upstream_client::implementation::pollPath(const network_address& address, const char* path, duration timeout,
    std::function<void(absl::StatusOr<upstream_answer>)> done)
{
    upstream_call call;
    call.address = address;
    call.method = "GET";
    call.target = path;
    call.timeout = timeout;
    call.connectionLimit = pollConnectionLimit;
    call_events events;
    events.onAnswer = [done](upstream_answer answer) { done(std::move(answer)); };
    events.onFailure = [done](call_failure failure) {
        done(failure == call_failure::Timeout ? absl::DeadlineExceededError("the upstream did not answer in time")
                                              : absl::UnavailableError("the upstream could not be polled"));
    };
    start(++lastPoll | pollBit, std::move(call), std::move(events));
}

upstream_client::upstream_client(std::unique_ptr<implementation> parts)
    : m_parts(std::move(parts))
{
    implementation* client = m_parts.get();
    client->connections.setUser(client);
    m_port.start = [client](upstream_call call, call_events events) {
        const std::uint64_t key = call.id.value();
        internal_assert(key != 0 && (key & pollBit) == 0)
            << "call " << key << " has a number that is 0 or reserved for polls";
        client->start(key, std::move(call), std::move(events));
    };
    m_port.cancel = [client](call_id id) { client->cancel(id.value()); };
    m_port.poll = [client](const network_address& address, duration timeout,
                      std::function<void(absl::StatusOr<load_report>)> done) {
        client->poll(address, timeout, std::move(done));
    };
    m_port.closeIdleConnections
        = [client](const network_address& address) { client->connections.closeIdleConnections(address); };
}

upstream_client::~upstream_client() = default;

std::unique_ptr<upstream_client> upstream_client::create(
    event_base* base, const kernel_hooks& hooks, upstream_client_options options)
{
    return std::unique_ptr<upstream_client>(
        new upstream_client(std::make_unique<implementation>(base, hooks, options)));
}

service upstream_client::asService()
{
    service item;
    item.name = port_names::upstreams;
    item.start = [this](registry& services) { return services.publish(port_names::upstreams, m_port); };
    item.stop = [this](std::function<void()> stopped) {
        m_parts->connections.closeIdle();
        stopped();
    };
    item.dump = [this] {
        state_dump dump;
        dump.add("calls_in_flight", static_cast<std::uint64_t>(m_parts->exchanges.size()));
        dump.add("incomplete_answer_bytes", static_cast<std::uint64_t>(m_parts->connections.receivedBytes()));
        dump.add("connections_open", static_cast<std::uint64_t>(m_parts->connections.openCount()));
        dump.add("connections_idle", static_cast<std::uint64_t>(m_parts->connections.idleCount()));
        return dump;
    };
    return item;
}

} // namespace plantainlatch
