#include "services/http_request_view.h"

#include <evhtp.h>

namespace plantainlatch {

std::string_view http_request_view::method() const { return htparser_get_methodstr(m_request->conn->parser); }

std::string_view http_request_view::path() const { return m_request->uri->path->full; }

std::string_view http_request_view::query() const
{
    const unsigned char* query = m_request->uri->query_raw;
    return query == nullptr ? std::string_view() : std::string_view(reinterpret_cast<const char*>(query));
}

std::string http_request_view::target(std::size_t from) const
{
    std::string text(path().substr(from));
    if (m_request->uri->query_raw != nullptr)
        text.append("?").append(query());
    return text;
}

const char* http_request_view::header(const char* name) const { return evhtp_header_find(m_request->headers_in, name); }

std::vector<header_field> http_request_view::headers() const
{
    std::vector<header_field> fields;
    for (const evhtp_header_t* field = m_request->headers_in->tqh_first; field != nullptr; field = field->next.tqe_next)
        fields.push_back({ { field->key, field->klen }, { field->val, field->vlen } });
    return fields;
}

std::string http_request_view::body() const
{
    std::string bytes(evbuffer_get_length(m_request->buffer_in), '\0');
    evbuffer_copyout(m_request->buffer_in, bytes.data(), bytes.size());
    return bytes;
}

} // namespace plantainlatch
