#include "fault_proxy/control_server.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

#include "absl/strings/str_split.h"

namespace plantainlatch {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    constexpr int statusNotFound = 404;
    constexpr std::size_t maximumBody = 4096;

    void reply(evhttp_request* request, int status, const std::string& text)
    {
        evbuffer* body = evbuffer_new();
        evbuffer_add(body, text.data(), text.size());
        evhttp_send_reply(request, status, nullptr, body);
        evbuffer_free(body);
    }

    std::string bodyOf(evhttp_request* request)
    {
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::string text(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, text.data(), text.size());
        return text;
    }

} // namespace

absl::StatusOr<std::unique_ptr<control_server>> control_server::create(
    event_base* base, const network_address& address, std::vector<std::unique_ptr<proxy_route>>& routes)
{
    std::unique_ptr<control_server> created(new control_server(routes));
    created->m_server = evhttp_new(base);
    evhttp_set_max_body_size(created->m_server, maximumBody);
    evhttp_set_allowed_methods(created->m_server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT);
    evhttp_set_gencb(
        created->m_server,
        [](evhttp_request* request, void* argument) { static_cast<control_server*>(argument)->handle(request); },
        created.get());
    if (evhttp_bind_socket(created->m_server, address.host.c_str(), address.port) != 0)
        return absl::UnavailableError("can't listen on " + formatAddress(address));
    return created;
}

control_server::control_server(std::vector<std::unique_ptr<proxy_route>>& routes)
    : m_routes(routes)
{
}

control_server::~control_server()
{
    if (m_server != nullptr)
        evhttp_free(m_server);
}

void control_server::handle(evhttp_request* request)
{
    const std::vector<std::string> parts = absl::StrSplit(evhttp_request_get_uri(request), '/');
    const bool isCommand = parts.size() == 4 && parts[1] == "routes";
    if (parts.size() == 2 && parts[1] == "routes")
        reply(request, statusOk, routesAsJson());
    else if (isCommand && evhttp_request_get_command(request) != EVHTTP_REQ_GET)
        runCommand(request, parts[2], parts[3]);
    else
        reply(request, statusNotFound, "no such path\n");
}

void control_server::runCommand(evhttp_request* request, const std::string& name, const std::string& command)
{
    const std::vector<proxy_route*> routes = findRoutes(name);
    const absl::StatusOr<fault_set> faults
        = command == "faults" ? parseFaults(bodyOf(request)) : absl::StatusOr<fault_set>(fault_set {});
    const bool isKnownCommand = command == "faults" || command == "cut" || command == "silence-open";
    if (routes.empty() || !isKnownCommand) {
        reply(request, statusNotFound, "no such route or command\n");
        return;
    }
    if (!faults.ok()) {
        reply(request, statusBadRequest, std::string(faults.status().message()) + "\n");
        return;
    }
    for (proxy_route* route : routes) {
        if (command == "faults")
            route->setFaults(*faults);
        else if (command == "cut")
            route->cut();
        else
            route->silenceOpen();
    }
    reply(request, statusOk, "done\n");
}

std::string control_server::routesAsJson() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& route : m_routes) {
        list.push_back({ { "name", route->spec().name }, { "listen", formatAddress(route->spec().listen) },
            { "target", formatAddress(route->spec().target) }, { "accepted", route->accepted() },
            { "open", route->open() } });
    }
    return list.dump(2) + "\n";
}

std::vector<proxy_route*> control_server::findRoutes(const std::string& name) const
{
    std::vector<proxy_route*> result;
    const bool isPrefix = name.ends_with('*');
    const std::string prefix = name.substr(0, name.size() - (isPrefix ? 1 : 0));
    for (const auto& route : m_routes) {
        const std::string& routeName = route->spec().name;
        if (isPrefix ? routeName.starts_with(prefix) : routeName == name)
            result.push_back(route.get());
    }
    return result;
}

} // namespace plantainlatch
