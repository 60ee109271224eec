#include "services/http_request_view.h"

#include "codec/http_fields.h"

namespace plantainlatch {

std::string_view http_request_view::path() const
{
    const std::string_view target = m_request.target;
    return target.substr(0, target.find('?'));
}

std::string_view http_request_view::query() const
{
    const std::size_t questionMark = m_request.target.find('?');
    return questionMark == std::string::npos ? std::string_view()
                                             : std::string_view(m_request.target).substr(questionMark + 1);
}

const char* http_request_view::header(const char* name) const
{
    const header_field* field = http_fields::find(m_request.headers, name);
    return field == nullptr ? nullptr : field->value.c_str();
}

} // namespace plantainlatch
