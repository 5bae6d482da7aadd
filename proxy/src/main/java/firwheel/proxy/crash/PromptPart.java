package firwheel.proxy.crash;

/**
 * Part of a prompt, as the targets of one service see it.
 *
 * @param service service to which requests with the part are sent
 * @param id identifier of the content
 */
public record PromptPart(String service, String id) {}
