#include "upstream_standin/standin.h"

#include <cstdlib>
#include <utility>

#include <event2/buffer.h>
#include <evhtp/evhtp.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "codec/http_fields.h"
#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    constexpr int listenBacklog = 1024;
    constexpr int crashExitCode = 70;
    constexpr std::uint64_t maximumBody = 8 * 1024 * 1024;
    constexpr duration defaultTimeout = std::chrono::seconds(30);
    constexpr duration sampleInterval = std::chrono::milliseconds(50);
    constexpr const char* requestNameField = "X-Request-Id";
    constexpr const char* crashField = "X-Standin-Crash";
    constexpr const char* hangField = "X-Standin-Hang";
    constexpr const char* upstreamField = "X-Standin-Upstream";

    /** libevhtp takes callbacks of different signatures as one function pointer type. */
    evhtp_hook asHook(evhtp_hook_request_fini_cb hook)
    {
        return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
    }

    std::string field(evhtp_request* request, const char* name)
    {
        const char* value = evhtp_header_find(request->headers_in, name);
        return value != nullptr ? value : "";
    }

    /** Adds a header field unless its value is empty. */
    void addField(evhtp_request* request, const char* name, const std::string& value)
    {
        if (!value.empty())
            evhtp_headers_add_header(request->headers_out, evhtp_header_new(name, value.c_str(), 1, 1));
    }

    std::string methodName(evhtp_request* request)
    {
        switch (evhtp_request_get_method(request)) {
        case htp_method_GET:
            return "GET";
        case htp_method_POST:
            return "POST";
        case htp_method_PUT:
            return "PUT";
        case htp_method_DELETE:
            return "DELETE";
        case htp_method_PATCH:
            return "PATCH";
        case htp_method_HEAD:
            return "HEAD";
        default:
            return "OTHER";
        }
    }

} // namespace

standin::standin(
    const kernel_hooks& hooks, const standin_options& options, upstream_announcement self, run_record& record)
    : m_hooks(hooks)
    , m_options(options)
    , m_self(std::move(self))
    , m_record(record)
    , m_queue(hooks, options)
{
}

standin::~standin()
{
    if (m_server == nullptr)
        return;
    evhtp_unbind_socket(m_server);
    evhtp_free(m_server);
}

absl::StatusOr<std::unique_ptr<standin>> standin::create(event_base* base, const kernel_hooks& hooks,
    const standin_options& options, upstream_announcement self, run_record& record)
{
    std::unique_ptr<standin> created(new standin(hooks, options, std::move(self), record));
    if (absl::Status status = created->listen(base); !status.ok())
        return status;
    created->sampleLoad();
    return created;
}

absl::Status standin::listen(event_base* base)
{
    m_server = evhtp_new(base, nullptr);
    if (m_server == nullptr)
        return absl::ResourceExhaustedError("no memory for a server");
    evhtp_set_max_body_size(m_server, maximumBody);
    evhtp_enable_flag(m_server, EVHTP_FLAG_ENABLE_NODELAY);
    evhtp_set_gencb(
        m_server, [](evhtp_request* request, void* argument) { static_cast<standin*>(argument)->handle(request); },
        this);
    if (evhtp_bind_socket(m_server, m_self.address.host.c_str(), m_self.address.port, listenBacklog) != 0)
        return absl::UnavailableError(absl::StrCat("can't listen on ", formatAddress(m_self.address)));
    return absl::OkStatus();
}

void standin::handle(evhtp_request* request)
{
    const std::string path = request->uri->path->full;
    if (path == "/health") {
        const bool ok = m_options.healthy && !m_draining;
        evhtp_send_reply(request, ok ? EVHTP_RES_OK : EVHTP_RES_SERVUNAVAIL);
    } else if (path == "/load") {
        handleLoad(request);
    } else {
        handleWork(request);
    }
}

void standin::handleLoad(evhtp_request* request)
{
    if (m_options.load == load_answer::Silent)
        return;
    load_sample sample { m_hooks.now(), m_queue.running(), m_queue.queued() };
    if (m_options.loadLag > duration::zero() && !m_samples.empty())
        sample = m_samples.front();
    if (m_options.load == load_answer::Idle)
        sample = {};
    if (m_options.load == load_answer::Busy)
        sample.running = m_options.slots;
    const nlohmann::json json { { "running", sample.running }, { "queued", sample.queued },
        { "draining", m_draining } };
    const std::string body = json.dump();
    evbuffer_add(request->buffer_out, body.data(), body.size());
    evhtp_send_reply(request, EVHTP_RES_OK);
}

void standin::handleWork(evhtp_request* request)
{
    if (field(request, crashField) == "1") {
        m_record.add(m_self.id.value(), "CRASH", field(request, requestNameField), "");
        _exit(crashExitCode);
    }
    const std::uint64_t key = ++m_lastExchange;
    const std::string method = methodName(request);
    const std::string requestName = field(request, requestNameField);
    const std::string idempotencyKey = field(request, http_fields::idempotencyKey);
    work_events events;
    events.onRun = [this, method, requestName, idempotencyKey] {
        m_record.add(m_self.id.value(), method, requestName, idempotencyKey);
    };
    events.onDone = [this, key] { answer(key, EVHTP_RES_OK); };
    events.onNotRun = [this, key] { answerNotRun(key); };
    events.onDeadline = [this, key] { answer(key, EVHTP_RES_GWTIMEOUT); };
    const duration timeout
        = http_fields::parseSeconds(field(request, http_fields::requestTimeout)).value_or(defaultTimeout);
    const work_id work = m_queue.add(timeout, field(request, hangField) == "1", std::move(events));
    if (work == work_id()) {
        refuse(request);
        return;
    }
    m_exchanges.emplace(key, exchange { request, field(request, http_fields::call), requestName, work });
    m_byRequest.emplace(request, key);
    const evhtp_hook_request_fini_cb onEnd = [](evhtp_request* ended, void* argument) -> evhtp_res {
        static_cast<standin*>(argument)->onRequestEnded(ended);
        return EVHTP_RES_OK;
    };
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini, asHook(onEnd), this);
}

void standin::refuse(evhtp_request* request)
{
    ++m_shedCount;
    addField(request, http_fields::notRun, "1");
    addField(request, http_fields::retryAfter, "1");
    addField(request, http_fields::call, field(request, http_fields::call));
    evhtp_send_reply(request, EVHTP_RES_SERVUNAVAIL);
}

void standin::answer(std::uint64_t key, int status)
{
    const exchange ended = removeExchange(key);
    addField(ended.request, http_fields::call, ended.call);
    addField(ended.request, upstreamField, m_self.id.value());
    addField(ended.request, requestNameField, ended.requestName);
    const nlohmann::json json { { "upstream", m_self.id.value() }, { "request", ended.requestName },
        { "padding", std::string(m_options.answerBytes, 'x') } };
    const std::string body = json.dump();
    evbuffer_add(ended.request->buffer_out, body.data(), body.size());
    evhtp_send_reply(ended.request, static_cast<evhtp_res>(status));
}

void standin::answerNotRun(std::uint64_t key) { refuse(removeExchange(key).request); }

standin::exchange standin::removeExchange(std::uint64_t key)
{
    const auto found = m_exchanges.find(key);
    internal_assert(found != m_exchanges.end()) << "exchange " << key << " has ended";
    exchange ended = std::move(found->second);
    m_exchanges.erase(found);
    m_byRequest.erase(ended.request);
    return ended;
}

void standin::onRequestEnded(evhtp_request* request)
{
    const auto found = m_byRequest.find(request);
    if (found == m_byRequest.end())
        return;
    const exchange ended = removeExchange(found->second);
    m_queue.cancel(ended.work);
}

void standin::sampleLoad()
{
    if (m_options.loadLag == duration::zero())
        return;
    m_samples.push_back({ m_hooks.now(), m_queue.running(), m_queue.queued() });
    while (m_samples.size() > 1 && m_hooks.now() - m_samples[1].at >= m_options.loadLag)
        m_samples.pop_front();
    m_hooks.schedule(sampleInterval, [this] { sampleLoad(); });
}

} // namespace plantainlatch
