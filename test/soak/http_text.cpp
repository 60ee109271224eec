#include "soak/http_text.h"

#include <cstdlib>

#include "absl/strings/match.h"

namespace plantainlatch {

int statusOf(const std::string& answer)
{
    return absl::StartsWith(answer, "HTTP/1.1 ") ? std::atoi(answer.c_str() + 9) : 0;
}

std::string fieldOf(const std::string& message, const std::string& name)
{
    const std::size_t at = message.find(name + ": ");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + name.size() + 2;
    return message.substr(begin, message.find("\r\n", begin) - begin);
}

std::size_t completeAnswerSize(const std::string& bytes, std::size_t begin)
{
    const std::size_t headEnd = bytes.find("\r\n\r\n", begin);
    if (headEnd == std::string::npos)
        return 0;
    const std::string head = bytes.substr(begin, headEnd + 4 - begin);
    const std::size_t size = head.size() + static_cast<std::size_t>(std::atoi(fieldOf(head, "Content-Length").c_str()));
    return bytes.size() - begin >= size ? size : 0;
}

} // namespace plantainlatch
